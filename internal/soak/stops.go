package soak

import (
	"sync"

	"galenatrestle/platform/platformtest"
)

// stopNodes stops all nodes at once and starts each again when it has ended.
func (w *world) stopNodes() {
	var stops sync.WaitGroup
	for _, n := range w.nodes {
		stops.Go(func() {
			n.busy.Lock()
			defer n.busy.Unlock()
			n.disturbed()
			defer n.disturbed()
			w.stopAndRestart(n)
		})
	}
	stops.Wait()
}

// judgeStops checks that planned stops cut no call that a replica ran. Only runs in which nothing else befalls the
// deployment are judged.
func (w *world) judgeStops(calls []*sent, runs map[string][]platformtest.Run) {
	if !w.options.onlyStops() {
		return
	}
	for _, s := range calls {
		if ran := runs[s.id]; len(ran) > 0 && s.status == 0 {
			w.violate("%s ran at %s and got no answer from %s: %v", s.id, ran[len(ran)-1].Replica, s.entry, s.err)
		}
	}
}

// onlyStops reports whether all that befalls the deployment is planned stops of nodes.
func (o *Options) onlyStops() bool {
	for _, e := range o.events() {
		if e.kind != stopNodes && e.kind != stopNode {
			return false
		}
	}
	return o.Crashers == 0 && o.PartCrash == nil
}
