package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// releaseGap is the time between two replicas that a new software version replaces, and
	// releaseLasts a bound for the whole release.
	releaseGap   = 250 * time.Millisecond
	releaseLasts = 5 * time.Second
	// groupKillLasts is how long nodes that are killed at once are down.
	groupKillLasts = time.Second
)

// release replaces half of the models in turn by the next software version. Each successor starts
// first, then the replica leaves.
func (w *world) release(e event) {
	w.mu.Lock()
	w.releases++
	version := fmt.Sprintf("%s.%d", firstVersion, w.releases)
	models := w.models()
	w.mu.Unlock()
	var leaving sync.WaitGroup
	for i := range len(models) / 2 {
		leaving.Go(func() { w.leave(models[(e.target+i)%len(models)], version) })
		time.Sleep(releaseGap)
	}
	leaving.Wait()
}

// models returns the running models. The lock is held.
func (w *world) models() []*runningReplica {
	var models []*runningReplica
	for _, r := range w.replicas {
		if r.service == modelService {
			models = append(models, r)
		}
	}
	return models
}

// crashModels has a third of the models, of any version, crash at once.
func (w *world) crashModels(e event) {
	w.mu.Lock()
	models := w.models()
	w.mu.Unlock()
	var crashing sync.WaitGroup
	for i := range (len(models) + 2) / 3 {
		r := models[(e.target+i)%len(models)]
		crashing.Go(func() { w.replace(r, func() { r.proxy.close(); _ = r.server.Close() }, e.lasts) })
	}
	crashing.Wait()
}

// killNodes kills some or all nodes at once and starts them again after the event's time.
func (w *world) killNodes(e event) {
	killed := w.nodes[:1+e.target%len(w.nodes)]
	for _, n := range killed {
		n.busy.Lock()
		defer n.busy.Unlock()
		n.disturbed()
		defer n.disturbed()
	}
	var kills sync.WaitGroup
	for _, n := range killed {
		kills.Go(n.kill)
	}
	kills.Wait()
	time.Sleep(e.lasts)
	for _, n := range killed {
		w.restart(n)
	}
}
