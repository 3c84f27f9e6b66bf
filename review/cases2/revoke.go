package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	revokeNodes    = 3
	revokeReplicas = 3
	revokeAt       = 3 * time.Second
	// revokeWithin is the bound of the deployment after which a revoked key may not be used.
	revokeWithin = 5 * time.Second
	// revokeTraffic is how long streams are sent.
	revokeTraffic = 12 * time.Second
	// otherKey is a key that no configuration holds.
	otherKey = "key-of-nobody"
)

// runRevoke has a new version of the configuration take the last tenant away, with its key. No request that is
// sent later than the bound may run, and none whose key no configuration ever held.
func runRevoke(d *deployment) (bool, error) {
	d.configure(1)
	var mu sync.Mutex
	ran := make(map[string]bool)
	for i := range revokeReplicas {
		r, err := d.serveHere(fmt.Sprintf("i-%d", i+1), modelService, "v1", 3)
		if err != nil {
			return false, err
		}
		r.onRun(func(id string) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = true
		})
	}
	if err := d.startNodes(revokeNodes); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	var revokedAt time.Time
	var sending sync.WaitGroup
	var tries, foreign []*try
	for i := 0; time.Since(began) < revokeTraffic; i++ {
		if withTrouble() && revokedAt.IsZero() && time.Since(began) >= revokeAt {
			d.tenants = []tenant{}
			d.configure(2)
			revokedAt = time.Now()
			d.recordf("the last tenant is taken away")
		}
		n := d.nodes[i%len(d.nodes)]
		sending.Go(func() {
			own := send(n, streamPath+"s", time.Now().Add(streamDeadline), 0, "")
			other := sendWithKey(n, otherKey, streamPath+"s", time.Now().Add(streamDeadline), 0, "")
			mu.Lock()
			defer mu.Unlock()
			tries, foreign = append(tries, own), append(foreign, other)
		})
		time.Sleep(100 * time.Millisecond)
	}
	sending.Wait()
	before, late, never := 0, 0, 0
	for _, t := range tries {
		d.recordf("%s, ran %t", t, ran[t.id])
		switch {
		case !ran[t.id]:
		case revokedAt.IsZero() || t.at.Before(revokedAt):
			before++
		case t.at.Sub(revokedAt) > revokeWithin:
			late++
		}
	}
	for _, t := range foreign {
		d.recordf("%s, key of nobody, ran %t", t, ran[t.id])
		if ran[t.id] {
			never++
		}
	}
	d.recordf("%d requests ran before the key was taken away, %d were sent later than %s after and ran; %d ran with a key that no configuration held",
		before, late, revokeWithin, never)
	if before == 0 {
		return false, fmt.Errorf("none of %d requests ran before the key was taken away", len(tries))
	}
	return late > 0 || never > 0, nil
}
