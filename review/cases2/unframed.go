package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	unframedNodes    = 4
	unframedReplicas = 7
	// streamsEvery is the time between two streams.
	streamsEvery = 25 * time.Millisecond
	// trafficTime is how long streams are sent, noticeAt when a replica says that it drains.
	trafficTime = 8 * time.Second
	noticeAt    = 3 * time.Second
	// reclaimAfter is how long after its notice a replica that is reclaimed is gone. One that is not
	// reclaimed is gone after answersEndAfter, when it has ended all its answers.
	reclaimAfter    = 2 * time.Second
	answersEndAfter = 6 * time.Second
)

// runUnframed has one of seven replicas drain and end two seconds after its notice, while its answers
// end with their connections. An answer that ends early must not look complete.
func runUnframed(d *deployment) (bool, error) {
	d.configure(1)
	var leaving *replicaProcess
	for i := range unframedReplicas {
		r, err := d.startReplica(fmt.Sprintf("i-%d", i+1), "v1", unframed)
		if err != nil {
			return false, err
		}
		leaving = r
	}
	if err := d.startNodes(unframedNodes); err != nil {
		return false, err
	}
	// All nodes have found each other after some rounds.
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var tries []*try
	var sending sync.WaitGroup
	notice := time.AfterFunc(noticeAt, func() {
		d.register(leaving.id, modelService, "v1", leaving.address, "draining", leaving.born)
		d.recordf("%s says that it drains", leaving.id)
	})
	defer notice.Stop()
	goneAfter := answersEndAfter
	if withTrouble() {
		goneAfter = reclaimAfter
	}
	end := time.AfterFunc(noticeAt+goneAfter, func() {
		leaving.kill()
		d.store.Deregister(leaving.id)
		d.recordf("%s is gone", leaving.id)
	})
	defer end.Stop()
	began := time.Now()
	for i := 0; time.Since(began) < trafficTime; i++ {
		path := streamPath
		if i%2 == 1 {
			path = oncePath
		}
		n := d.nodes[i%len(d.nodes)]
		sending.Go(func() {
			t := send(n, path+"s", time.Now().Add(streamDeadline), 0, "")
			mu.Lock()
			defer mu.Unlock()
			tries = append(tries, t)
		})
		time.Sleep(streamsEvery)
	}
	sending.Wait()
	truncated, whole := 0, 0
	for _, t := range tries {
		d.recordf("%s", t)
		_, _, ended := eventsOf(t.text)
		switch {
		case ended && t.err == nil:
			whole++
		case t.status == http.StatusOK && t.err == nil:
			truncated++
		}
	}
	d.recordf("%d streams, %d whole, %d that look complete without their last piece", len(tries), whole, truncated)
	if whole < len(tries)/2 {
		return false, fmt.Errorf("only %d of %d streams were whole", whole, len(tries))
	}
	return truncated > 0, nil
}
