package nodesync

import (
	"fmt"
	"testing"
	"time"
)

// Nodes that restarted together read the registrations all at once, since none knew that others did.
func TestFirstReadIsToldToOtherNodes(t *testing.T) {
	seed, b, c := newTestNode("seed", 100*second), newTestNode("b", 50*second), newTestNode("c", 10*second)
	if _, known := b.SinceOthersFirstRead(); known {
		t.Error("a first read is known before any has begun")
	}
	seed.BeginFirstRead()
	seed.now += second
	b.exchangeWith(t, seed, 0, 0)
	c.exchangeWith(t, b, 0, 0)
	for _, n := range []*testNode{b, c} {
		if since, known := n.SinceOthersFirstRead(); !known || since != time.Second {
			t.Errorf("node %s: first read began %s ago (known: %t), want 1s", n.options.Self().Name, since, known)
		}
	}
	seed.exchangeWith(t, c, 0, 0)
	if _, known := seed.SinceOthersFirstRead(); known {
		t.Error("a node takes its own read for that of another one")
	}
	c.now += second * 10
	if _, known := c.SinceOthersFirstRead(); known {
		t.Error("an old first read is still known")
	}
}

// Nodes kept waiting for one that could not reach the store and tried again and again.
func TestRepeatedFirstReadIsNotToldAnew(t *testing.T) {
	seed, b := newTestNode("seed", 100*second), newTestNode("b", 50*second)
	seed.BeginFirstRead()
	seed.now += 3 * second
	seed.BeginFirstRead()
	b.exchangeWith(t, seed, 0, 0)
	if since, known := b.SinceOthersFirstRead(); !known || since != 3*time.Second {
		t.Errorf("first read began %s ago (known: %t), want 3s", since, known)
	}
}

// TestFirstReadReachesRestartedFleet checks that most of a fleet whose nodes know only the seeds hears
// within three rounds that a seed reads.
func TestFirstReadReachesRestartedFleet(t *testing.T) {
	for _, size := range []int{100, 400} {
		t.Run(fmt.Sprintf("nodes=%d", size), func(t *testing.T) {
			m := newFleetModel(size)
			m.nodes[0].BeginFirstRead()
			m.run(3)
			informed := 1
			for _, n := range m.nodes {
				if _, known := n.SinceOthersFirstRead(); known {
					informed++
				}
			}
			if informed < size*9/10 {
				t.Errorf("%d of %d nodes know of the read", informed, size)
			}
		})
	}
}
