package claim

import (
	"context"
	"testing"

	"galenatrestle/internal/platform"
)

// setHint makes a node regard another one as the holder.
func setHint(node *testNode, other string) {
	node.leaseManagers[0].clearHolder()
	node.leaseManagers[0].updateHint(Hint{Holder: HolderName(other, "run-1", other)})
}

// Nodes with stale hints that name each other must not keep a call from reaching the
// holder.
func TestStaleHintsDoNotHideTheHolder(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		fourth := c.start(t, "n4", nil)
		setHint(nodes[1], "n3")
		setHint(nodes[2], "n4")
		setHint(fourth, "n3")
		expectResult(t, "a call at a node with a stale hint", c.call(t, nodes[1], testKey, "body", stepNone), resultRan)
		expectRuns(t, c, testKey, 1)
	})
}

func TestHintSupersedes(t *testing.T) {
	old, current, next := Hint{Holder: "n2", Epoch: 4}, Hint{Holder: "n3", Epoch: 5}, Hint{Holder: "n4", Epoch: 6}
	cases := []struct {
		name  string
		hint  Hint
		known Hint
		want  bool
	}{
		{"older", old, current, false},
		{"older, the newer holder did not respond", old, Hint{Epoch: 5}, false},
		{"the same again", current, current, false},
		{"the same, after it did not respond", current, Hint{Epoch: 5}, true},
		{"newer", next, current, true},
		{"no holder", Hint{Epoch: 9}, current, false},
		{"without an epoch, nothing known", Hint{Holder: "n2"}, Hint{}, true},
	}
	for _, test := range cases {
		if got := test.hint.supersedes(test.known); got != test.want {
			t.Errorf("%s: %+v supersedes %+v: %v", test.name, test.hint, test.known, got)
		}
	}
}

// The address in the lease takes precedence over the view, which may still have that of
// a replaced process.
func TestHolderAddressPrefersLease(t *testing.T) {
	withCluster(t, func(t *testing.T, _ *cluster, nodes []*testNode) {
		manager := nodes[1].leaseManagers[0]
		manager.clearHolder()
		manager.updateHint(Hint{Holder: HolderName("n3", "run-2", "n3-replaced"), Epoch: 9})
		if address, ok := manager.holderAddress(); !ok || address != "n3-replaced" {
			t.Errorf("holder address is %q, want the address in its lease", address)
		}
		manager.updateHint(Hint{Holder: HolderName("n2", "run-1", "n2"), Epoch: 10})
		if address, ok := manager.holderAddress(); ok {
			t.Errorf("holder address is this node's own: %q", address)
		}
		manager.updateHint(Hint{Holder: "n3", Epoch: 11})
		if address, ok := manager.holderAddress(); !ok || address != "n3" {
			t.Errorf("address of a holder without one in its lease is %q, want that of the view", address)
		}
	})
}

// Guards against a holder that was forgotten because it was slow: its callers then asked nodes
// that do not hold the shard.
func TestHintOfASlowHolderIsKept(t *testing.T) {
	withCluster(t, func(t *testing.T, _ *cluster, nodes []*testNode) {
		manager := nodes[1].leaseManagers[0]
		holder := Hint{Holder: HolderName("n3", "run-1", "n3"), Epoch: 9}
		manager.updateHint(holder)
		nodes[1].peerFailed(manager, context.DeadlineExceeded)
		if got := manager.holderHint(); got != holder {
			t.Errorf("after a timeout the hint is %+v, want %+v", got, holder)
		}
		nodes[1].peerFailed(manager, platform.ErrUnavailable)
		if got := manager.holderHint(); got.Holder != "" {
			t.Errorf("the hint names %q, which cannot be reached", got.Holder)
		}
	})
}
