package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	unframedNodes    = 4
	unframedReplicas = 20
	// Of five replicas in a row, mixedOfFive give some answers without a length.
	mixedOfFive = 3
	// streamsEvery is the time between two streams, which are sent for trafficTime.
	streamsEvery = 11 * time.Millisecond
	trafficTime  = 80 * time.Second
	// reclaimed is the number of replicas that drain at a time. A replica that is reclaimed is gone reclaimAfter
	// its notice. One that is not is gone after answersEndAfter, when it has ended all its answers.
	reclaimed       = 3
	reclaimAfter    = 2 * time.Second
	answersEndAfter = 6 * time.Second
	// othersAfter is the time until others take their place, betweenReclaims that until the next ones drain.
	othersAfter     = 4 * time.Second
	betweenReclaims = 500 * time.Millisecond
)

// runUnframed has three of twenty replicas at a time drain and end two seconds after their notice, while some
// answers end with their connections. An answer that ends early must not look complete.
func runUnframed(d *deployment) (bool, error) {
	d.configure(1)
	f := &fleet{deployment: d}
	if err := f.add(unframedReplicas); err != nil {
		return false, err
	}
	if err := d.startNodes(unframedNodes); err != nil {
		return false, err
	}
	// All nodes have found each other after some rounds.
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var planned sync.WaitGroup
	var planErr error
	planned.Go(func() { planErr = f.reclaim(stop) })
	sent, whole, truncated := d.sendCounted()
	close(stop)
	planned.Wait()
	d.recordf("%d streams, %d whole, %d that look complete without their last piece", sent, whole, truncated)
	switch {
	case planErr != nil:
		return false, planErr
	case whole < sent/2:
		return false, errors.New("less than half of the streams were whole")
	}
	return truncated > 0, nil
}

// fleet is the replicas that serve, oldest first.
type fleet struct {
	*deployment
	serving []*replicaProcess
	started int
	// due has when others take the place of replicas that are gone, reclaimed of them each time.
	due []time.Time
}

// add starts replicas.
func (f *fleet) add(count int) error {
	for range count {
		framing := chunked
		if f.started%5 < mixedOfFive {
			framing = mixed
		}
		f.started++
		r, err := f.startReplica(fmt.Sprintf("i-%d", f.started), "v1", framing)
		if err != nil {
			return err
		}
		f.serving = append(f.serving, r)
	}
	return nil
}

// reclaim has the oldest replicas drain and go, again and again until stop is closed.
func (f *fleet) reclaim(stop <-chan struct{}) error {
	goneAfter := answersEndAfter
	if withTrouble() {
		goneAfter = reclaimAfter
	}
	for {
		leaving := f.serving[:reclaimed]
		f.serving = f.serving[reclaimed:]
		for _, r := range leaving {
			f.register(r.id, modelService, "v1", r.address, "draining", r.born)
			f.recordf("%s says that it drains", r.id)
		}
		time.Sleep(goneAfter)
		for _, r := range leaving {
			r.kill()
			f.store.Deregister(r.id)
			f.recordf("%s is gone", r.id)
		}
		f.due = append(f.due, time.Now().Add(othersAfter))
		if err := f.replace(); err != nil {
			return err
		}
		select {
		case <-stop:
			return nil
		case <-time.After(betweenReclaims):
		}
	}
}

// replace starts the replicas that are due.
func (f *fleet) replace() error {
	for len(f.due) > 0 && !time.Now().Before(f.due[0]) {
		f.due = f.due[1:]
		if err := f.add(reclaimed); err != nil {
			return err
		}
	}
	return nil
}

// sendCounted sends streams to all nodes in turn and returns how many were sent, were whole, and look complete
// without their last piece.
func (d *deployment) sendCounted() (sent, whole, truncated int) {
	var mu sync.Mutex
	var sending sync.WaitGroup
	began := time.Now()
	for ; time.Since(began) < trafficTime; sent++ {
		path := streamPath
		if sent%2 == 1 {
			path = oncePath
		}
		n := d.nodes[sent%len(d.nodes)]
		sending.Go(func() {
			t := send(n, path+"s", time.Now().Add(streamDeadline), 0, "")
			d.recordf("%s", t)
			_, _, ended := eventsOf(t.text)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case ended && t.err == nil:
				whole++
			case t.status == http.StatusOK && t.err == nil:
				truncated++
			}
		})
		time.Sleep(streamsEvery)
	}
	sending.Wait()
	return sent, whole, truncated
}
