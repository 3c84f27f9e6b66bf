package main

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"syscall"
	"time"

	"galenatrestle/internal/duty/dutytest"
	"galenatrestle/platform/platformtest"
)

const (
	usageNodes = 5
	// usageLease is leaseMs of the sheet with duties.
	usageLease = 3 * time.Second
	// copyAge is the age of the copy when the store goes away, awayTime how long it is away.
	copyAge  = 2500 * time.Millisecond
	awayTime = time.Second
	// copyInterval is the time between two copies of the store.
	copyInterval = 100 * time.Millisecond
	// steadyReports is the number of reports that are awaited before the drill.
	steadyReports = 2
	// reportLimit bounds the wait for them, afterTime is the time after the drill in which reports are watched.
	reportLimit = 40 * time.Second
	afterTime   = 30 * time.Second
)

// datedCopy is the store's state at a time.
type datedCopy struct {
	at   time.Time
	copy platformtest.Copy
}

// copies keeps copies of the store of the last seconds.
type copies struct {
	mu   sync.Mutex
	list []datedCopy
}

func (c *copies) run(ctx context.Context, store *platformtest.Store) {
	for ctx.Err() == nil {
		c.mu.Lock()
		c.list = append(c.list, datedCopy{time.Now(), store.Copy()})
		c.list = c.list[max(0, len(c.list)-100):]
		c.mu.Unlock()
		time.Sleep(copyInterval)
	}
}

// before returns the newest copy that is older than the time.
func (c *copies) before(at time.Time) datedCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.list[0]
	for _, one := range c.list {
		if one.at.Before(at) {
			found = one
		}
	}
	return found
}

// usageRestored kills all nodes at one moment, just after a usage report was accepted, while the store comes back from
// a copy some seconds old. No window may be reported with two different counts.
func usageRestored(w *world, trouble bool) ([]string, error) {
	storeAddress, err := w.serve(w.store)
	if err != nil {
		return nil, err
	}
	platform := platformtest.NewDuties(usageLease, 1)
	if w.duties, err = w.serve(platform); err != nil {
		return nil, err
	}
	w.configure(1)
	if err := w.addReplicas(service, restartReplicas, restartSlots, restartQueue); err != nil {
		return nil, err
	}
	if err := w.addNodes(usageNodes, storeAddress); err != nil {
		return nil, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	kept := &copies{}
	go kept.run(ctx, w.store)
	seen := &outcomes{}
	var clients sync.WaitGroup
	clients.Go(func() { w.runClients(ctx, claimPath, restartClients, restartRate, true, seen) })
	newest, err := w.awaitReports(platform.Judge)
	if err != nil {
		return nil, err
	}
	if trouble {
		w.drill(kept)
	}
	time.Sleep(afterTime)
	cancel()
	clients.Wait()
	for window, counts := range platform.Judge.Reports() {
		w.note("platform: window %d was accepted first with %v", window, counts)
	}
	w.note("the newest window before the drill is %d; %d calls of holders were applied", newest, len(platform.Judge.Calls()))
	for _, run := range w.runs.All() {
		w.note("replica %s runs %s, %.3f s after the start", run.Replica, run.ID, run.At.Sub(w.began).Seconds())
	}
	return platform.Judge.Violations(), nil
}

// awaitReports waits until some windows with requests were reported, and returns as soon as the newest one is.
func (w *world) awaitReports(judge *dutytest.Checker) (int64, error) {
	for end := time.Now().Add(reportLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		reported := judge.Reports()
		maps.DeleteFunc(reported, func(_ int64, counts map[string]int64) bool { return len(counts) == 0 })
		if len(reported) < steadyReports {
			continue
		}
		newest := int64(0)
		for window := range reported {
			newest = max(newest, window)
		}
		w.note("platform: window %d is accepted with %v", newest, reported[newest])
		return newest, nil
	}
	return 0, fmt.Errorf("%d windows with requests were not reported within %s", steadyReports, reportLimit)
}

// drill kills all nodes while the store is away, and starts them after it has come back from a copy.
func (w *world) drill(kept *copies) {
	from := kept.before(time.Now().Add(-copyAge))
	w.store.SetDown(true)
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
	}
	w.note("the store is away and all nodes are killed")
	time.Sleep(awayTime)
	writeAgain := w.store.Restore(from.copy)
	writeAgain()
	w.store.SetDown(false)
	w.note("the store is back from a copy that is %.1f s old, with what operators and replicas wrote", time.Since(from.at).Seconds())
	for _, n := range w.nodes {
		<-n.signal(syscall.SIGKILL)
		if err := n.start(); err != nil {
			w.note("start of %s: %v", n.name, err)
		}
	}
}
