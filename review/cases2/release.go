package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	releaseNodes    = 7
	releaseReplicas = 6
	// freezeAt is when one node freezes, freezeFor for how long; releaseAt is when the first replica
	// of the next version starts, and releaseEvery the time between two.
	freezeAt     = 5 * time.Second
	freezeFor    = 3500 * time.Millisecond
	releaseAt    = freezeAt + 300*time.Millisecond
	releaseEvery = time.Second
	released     = 2
	// oldServes is how long a replaced replica serves after its notice.
	oldServes = 4 * time.Second
	// releaseTraffic is how long streams are sent.
	releaseTraffic = 12 * time.Second
	// minResumed is the number of resumed streams from which the rule counts.
	minResumed = 12
)

// replicaServer is a replica in this process.
type replicaServer struct {
	replica
	listener net.Listener
	born     time.Time
}

func (d *deployment) serveHere(id, service, version string, events int) (*replicaServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replicaServer{listener: listener, born: time.Now()}
	r.id, r.version, r.framing, r.events, r.perWrite = id, version, chunked, events, d.perWrite
	r.began = func(request string) {
		d.recordf("%s runs at %s (%s)", request, id, version)
	}
	go r.serve(listener)
	d.register(id, service, version, listener.Addr().String(), "ready", r.born)
	return r, nil
}

// stream is what a caller has of a stream over its attempts.
type stream struct {
	tries []*try
	// resumedAt is when it was taken up again; zero: it was not.
	resumedAt time.Time
}

// goesOn reports whether the attempt brought events.
func (t *try) goesOn() bool {
	ids, _, _ := eventsOf(t.text)
	return t.status == http.StatusOK && len(ids) > 0
}

// runRelease freezes one of seven nodes while replicas are replaced by those of another software
// version. Its callers take their streams up again at other nodes, and at least half as many of these have
// to go on as of new streams begin.
func runRelease(d *deployment) (bool, error) {
	d.configure(1)
	var old []*replicaServer
	for i := range releaseReplicas {
		r, err := d.serveHere(fmt.Sprintf("i-old-%d", i+1), modelService, "v1", streamEvents)
		if err != nil {
			return false, err
		}
		old = append(old, r)
	}
	if err := d.startNodes(releaseNodes); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	var events sync.WaitGroup
	frozen := d.nodes[releaseNodes-1]
	if withTrouble() {
		events.Go(func() {
			time.Sleep(freezeAt)
			frozen.signal(syscall.SIGSTOP)
			d.recordf("%s freezes", frozen.name)
			time.Sleep(freezeFor)
			frozen.signal(syscall.SIGCONT)
			d.recordf("%s goes on", frozen.name)
		})
	}
	var releaseErr error
	events.Go(func() {
		time.Sleep(releaseAt)
		releaseErr = d.release(old[:released])
	})
	streams := d.sendStreams(began, releaseTraffic, frozen)
	events.Wait()
	if releaseErr != nil {
		return false, releaseErr
	}
	return d.judgeResumed(streams, frozen)
}

// release replaces the replicas one after the other: the new one starts first, then the old one drains.
func (d *deployment) release(old []*replicaServer) error {
	for i, r := range old {
		next, err := d.serveHere(fmt.Sprintf("i-new-%d", i+1), modelService, "v2", streamEvents)
		if err != nil {
			return err
		}
		d.register(r.id, modelService, r.version, r.listener.Addr().String(), "draining", r.born)
		d.recordf("%s (%s) replaces %s (%s)", next.id, next.version, r.id, r.version)
		time.AfterFunc(oldServes, func() {
			_ = r.listener.Close()
			d.store.Deregister(r.id)
		})
		time.Sleep(releaseEvery)
	}
	return nil
}

// sendStreams sends streams to all nodes in turn for a while. A caller whose stream breaks takes it up again
// once, at another node than the disturbed one.
func (d *deployment) sendStreams(began time.Time, lasts time.Duration, disturbed *node) []*stream {
	var mu sync.Mutex
	var streams []*stream
	var sending sync.WaitGroup
	for i := 0; time.Since(began) < lasts; i++ {
		n, other := d.nodes[i%len(d.nodes)], d.nodes[(i+1)%len(d.nodes)]
		if other == disturbed {
			other = d.nodes[0]
		}
		sending.Go(func() {
			s := follow(n, other)
			mu.Lock()
			defer mu.Unlock()
			streams = append(streams, s)
		})
		time.Sleep(20 * time.Millisecond)
	}
	sending.Wait()
	return streams
}

// follow receives one stream, at another node if it breaks.
func follow(n, other *node) *stream {
	deadline := time.Now().Add(streamDeadline)
	first := send(n, streamPath+"s", deadline, 0, "")
	s := &stream{tries: []*try{first}}
	ids, _, whole := eventsOf(first.text)
	if whole || len(ids) == 0 || first.err == nil {
		return s
	}
	s.resumedAt = time.Now()
	s.tries = append(s.tries, send(other, streamPath+"s", deadline, ids[len(ids)-1], first.id))
	return s
}

// judgeResumed compares the resumed streams with the new ones in the same time, at nodes in touch.
func (d *deployment) judgeResumed(streams []*stream, disturbed *node) (bool, error) {
	resumed, goOn, begun, begin, mixed := 0, 0, 0, 0, 0
	var from, until time.Time
	for _, s := range streams {
		for _, t := range s.tries {
			d.recordf("%s", t)
		}
		if s.resumedAt.IsZero() {
			continue
		}
		resumed++
		if s.tries[1].goesOn() {
			goOn++
		}
		if from.IsZero() || s.resumedAt.Before(from) {
			from = s.resumedAt
		}
		if s.resumedAt.After(until) {
			until = s.resumedAt
		}
	}
	for _, s := range streams {
		t := s.tries[0]
		if isMixed(s) {
			mixed++
		}
		if t.node == disturbed.name || from.IsZero() || t.at.Before(from.Add(-time.Second)) || t.at.After(until.Add(time.Second)) {
			continue
		}
		begun++
		if t.goesOn() {
			begin++
		}
	}
	d.recordf("%d streams; %d were taken up again at nodes in touch, %d of them went on; of %d new ones at that time %d began; %d hold events of two versions",
		len(streams), resumed, goOn, begun, begin, mixed)
	switch {
	case !withTrouble():
		return false, nil
	case resumed < minResumed || begun == 0:
		return false, errors.New("too few streams were taken up again")
	}
	return float64(goOn)/float64(resumed) < float64(begin)/float64(begun)/2, nil
}

// isMixed reports whether the caller holds events of two software versions.
func isMixed(s *stream) bool {
	seen := make(map[string]bool)
	for _, t := range s.tries {
		_, versions, _ := eventsOf(t.text)
		for _, v := range versions {
			seen[v] = true
		}
	}
	return len(seen) > 1
}
