package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	usageNodes    = 4
	usageReplicas = 4
	// copyBefore is the time before a window's end at which the store is copied. The report of the window
	// comes some two seconds after its end, so that the store loses about three seconds.
	copyBefore = 300 * time.Millisecond
	// storeAway is how long the store is away, and writtenAgain the time until the operator and the
	// replicas have written again what it lost.
	storeAway    = 300 * time.Millisecond
	writtenAgain = 500 * time.Millisecond
	// nodesDown is the time until the nodes start again.
	nodesDown = time.Second
	// reportTimeout bounds the wait for a window's report.
	reportTimeout = 15 * time.Second
	// afterwards is how long reports are awaited after the disruption: their delay, and a takeover.
	afterwards = usageDelay + 15*time.Second
)

// runUsage has the store come back from a copy that is three seconds old, while all nodes are killed. The
// platform must not accept two reports of one window with different counts.
func runUsage(d *deployment) (bool, error) {
	sink := &usageSink{d: d}
	address, err := d.serve(sink)
	if err != nil {
		return false, err
	}
	d.duties = address
	d.configure(1)
	for i := range usageReplicas {
		if _, err := d.serveHere(fmt.Sprintf("i-%d", i+1), modelService, "v1", streamEvents); err != nil {
			return false, err
		}
	}
	if err := d.startNodes(usageNodes); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { d.sendUntil(stop) })
	err = d.disturbUsage(sink)
	time.Sleep(afterwards)
	close(stop)
	traffic.Wait()
	if err != nil {
		return false, err
	}
	difference := sink.differing()
	if difference != "" {
		d.recordf("%s", difference)
	}
	return difference != "", nil
}

// sendUntil sends streams to all nodes in turn until stop is closed.
func (d *deployment) sendUntil(stop <-chan struct{}) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		sending.Go(func() {
			d.recordf("%s", send(d.nodes[i%len(d.nodes)], streamPath+"s", time.Now().Add(streamDeadline), 0, ""))
		})
	}
}

// disturbUsage copies the store before a window ends, waits for the window's report, and then kills all
// nodes and restores the store from the copy.
func (d *deployment) disturbUsage(sink *usageSink) error {
	// The first reports come from windows in which the nodes started.
	time.Sleep(2 * usageWindow)
	window := time.Now().UnixNano() / int64(usageWindow)
	end := time.Unix(0, (window+1)*int64(usageWindow))
	time.Sleep(time.Until(end.Add(-copyBefore)))
	copied := d.store.Copy()
	copiedAt := time.Now()
	for deadline := time.Now().Add(reportTimeout); len(sink.of(window)) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("no report of the window came")
		}
	}
	if !withTrouble() {
		return nil
	}
	for _, n := range d.nodes {
		n.kill()
	}
	d.recordf("all nodes are killed")
	d.store.SetDown(true)
	time.Sleep(storeAway)
	writeAgain := d.store.Restore(copied)
	d.store.SetDown(false)
	d.recordf("the store is back from a copy that is %.1f s old", time.Since(copiedAt).Seconds())
	time.Sleep(writtenAgain)
	writeAgain()
	time.Sleep(nodesDown - writtenAgain)
	for _, n := range d.nodes {
		if err := d.start(n); err != nil {
			return err
		}
	}
	d.recordf("all nodes are started again")
	return nil
}
