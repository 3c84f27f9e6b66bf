package claim

import (
	"testing"
)

// hear makes a node believe that another one holds the shard.
func hear(node *testNode, other string) {
	node.shardHolders[0].forget()
	node.shardHolders[0].learn(Hint{Holder: HolderName(other, "run-1", other)})
}

// TestStaleHintsLeadToTheHolder has two nodes that name each other as the holder
// of a shard that neither holds any more: a call at a third, which believes one
// of them, still finds the holder in time.
func TestStaleHintsLeadToTheHolder(t *testing.T) {
	within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		fourth := c.start(t, "n4", nil)
		hear(nodes[1], "n3")
		hear(nodes[2], "n4")
		hear(fourth, "n3")
		expectTold(t, "a call at a node with a stale hint", c.call(t, nodes[1], oneKey, "body", stepNone), toldRan)
		expectRuns(t, c, oneKey, 1)
	})
}

// TestOlderHintIsNotFollowed tells a node that knows the holder of an older one.
func TestOlderHintIsNotFollowed(t *testing.T) {
	old, current, next := Hint{Holder: "n2", Epoch: 4}, Hint{Holder: "n3", Epoch: 5}, Hint{Holder: "n4", Epoch: 6}
	cases := []struct {
		name     string
		hint     Hint
		known    Hint
		improves bool
	}{
		{"older", old, current, false},
		{"older, the newer holder did not answer", old, Hint{Epoch: 5}, false},
		{"the same again", current, current, false},
		{"the same, after it did not answer", current, Hint{Epoch: 5}, true},
		{"newer", next, current, true},
		{"no holder", Hint{Epoch: 9}, current, false},
		{"of a node that tells no epoch, nothing known", Hint{Holder: "n2"}, Hint{}, true},
	}
	for _, test := range cases {
		if got := test.hint.improves(test.known); got != test.improves {
			t.Errorf("%s: %+v improves %+v: %v", test.name, test.hint, test.known, got)
		}
	}
}

// TestAHolderIsAskedAtTheAddressOfItsLease has a node that was replaced hold the
// shard, while another one still has the address of the process before in its view.
func TestAHolderIsAskedAtTheAddressOfItsLease(t *testing.T) {
	within(t, func(t *testing.T, _ *cluster, nodes []*testNode) {
		holder := nodes[1].shardHolders[0]
		holder.forget()
		holder.learn(Hint{Holder: HolderName("n3", "run-2", "n3-replaced"), Epoch: 9})
		if address, ok := holder.holderAddress(); !ok || address != "n3-replaced" {
			t.Errorf("the holder is asked at %q, want the address in its lease", address)
		}
		holder.learn(Hint{Holder: HolderName("n2", "run-1", "n2"), Epoch: 10})
		if address, ok := holder.holderAddress(); ok {
			t.Errorf("a node asks itself at %q", address)
		}
		holder.learn(Hint{Holder: "n3", Epoch: 11})
		if address, ok := holder.holderAddress(); !ok || address != "n3" {
			t.Errorf("a holder that tells no address is asked at %q, want that of the view", address)
		}
	})
}
