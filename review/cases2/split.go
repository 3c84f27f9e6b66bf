package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	splitNodes         = 7
	splitReplicas      = 10
	splitOtherReplicas = 3
	// splitAt is when the route is split, killAfter the time after that at which a node is killed, and
	// killedFor the time until it starts again.
	splitAt   = 6 * time.Second
	killAfter = 1500 * time.Millisecond
	killedFor = 3 * time.Second
	// splitTraffic is how long streams are sent.
	splitTraffic = 11 * time.Second
)

// runSplit kills one of seven nodes after a route was split by a new version of the configuration. Its callers
// take their streams up again at other nodes, and at least half as many of these have to go on as of new
// streams begin.
func runSplit(d *deployment) (bool, error) {
	d.configure(1)
	for i := range splitReplicas + splitOtherReplicas {
		service := modelService
		if i >= splitReplicas {
			service = otherService
		}
		if _, err := d.serveHere(fmt.Sprintf("i-%d", i+1), service, "v1", longStreamEvents); err != nil {
			return false, err
		}
	}
	if err := d.startNodes(splitNodes); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	killed := d.nodes[splitNodes-1]
	var events sync.WaitGroup
	var startErr error
	events.Go(func() {
		time.Sleep(splitAt)
		d.configure(2, target{modelService, 90}, target{otherService, 10})
		d.recordf("the route is split")
		if !withTrouble() {
			return
		}
		time.Sleep(killAfter)
		killed.kill()
		d.recordf("%s is killed", killed.name)
		time.Sleep(killedFor)
		startErr = d.start(killed)
		d.recordf("%s is started again", killed.name)
	})
	streams := d.sendStreams(began, splitTraffic, killed)
	events.Wait()
	if startErr != nil {
		return false, startErr
	}
	return d.judgeResumed(streams, killed)
}
