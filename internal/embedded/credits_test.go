package embedded

import (
	"sync"
	"sync/atomic"
	"testing"

	"galenatrestle/internal/node"
)

// TestSharedSlotsServeAll sends more requests to three nodes at once than the
// replicas have slots: all must be answered under the owners' grants.
func TestSharedSlotsServeAll(t *testing.T) {
	const requests = 60
	d := startWith(t, Options{Nodes: 3, Engines: 2})
	for _, n := range d.Nodes {
		eventually(t, "allowances at "+n.Name(), func() bool { return allowed(n) })
	}
	var wait sync.WaitGroup
	var answered atomic.Int64
	for i := range requests {
		wait.Go(func() {
			text, end := chatStream(t, d, i%3, "share", 20).read(0)
			if end == "[DONE]" && text != "" {
				answered.Add(1)
			}
		})
	}
	wait.Wait()
	if n := answered.Load(); n != requests {
		t.Errorf("%d of %d requests were answered", n, requests)
	}
}

// allowed reports whether allowances below the replicas' own limits are in
// force at a node.
func allowed(n *node.Node) bool {
	for _, stats := range n.Stats() {
		for _, r := range stats.Replicas {
			if r.Limit >= r.Slots {
				return false
			}
		}
	}
	return true
}
