package soak

import "sync"

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
