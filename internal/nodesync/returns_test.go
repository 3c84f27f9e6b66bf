package nodesync

import (
	"testing"
	"time"

	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/returns"
)

// returningFleet returns a settled fleet in three availability zones whose nodes announce returns.
func returningFleet(t *testing.T, size int) []*testNode {
	nodes := largeFleet(size)
	for _, n := range nodes {
		n.options.Returns = returns.NewTable()
	}
	rounds(t, nodes, 10)
	return nodes
}

// Guards against a caller that goes before newcomers only at the node that refused it, or only while that node
// lives. A node that dies before it has told its hub leaves the caller a newcomer.
func TestReturnsReachAllNodesOfAFleetWithHubs(t *testing.T) {
	nodes := returningFleet(t, 75)
	member := nodes[0]
	for _, n := range nodes {
		if n.Role() == Member {
			member = n
		}
	}
	now := time.Now()
	member.options.Returns.Add(now, returns.Entry{Fingerprint: 7, ID: 1, DueAt: now.Add(returns.MaxDelay)}, "")
	rounds(t, nodes, 3)
	for _, n := range nodes {
		if n.options.Returns.Len() != 1 || n.options.Returns.Arrive(time.Now(), 7).Kind != returns.Early {
			t.Errorf("%s does not know the return", n.options.Self().Name)
		}
	}
}

// Guards against announcements that take more than the bytes that the parts may use, 8 KB/s for each node.
func TestAnnouncedReturnsTakeFewBytes(t *testing.T) {
	const perSecond, seconds = 100, 4
	bytesOf := func(told bool) int {
		nodes := returningFleet(t, 75)
		total := 0
		for tick := range seconds * ticksPerSecond {
			for i := range perSecond / ticksPerSecond {
				n := nodes[(tick*7+i*3)%len(nodes)]
				id := uint32(tick*perSecond + i)
				entry := returns.Entry{Fingerprint: quarantine.Fingerprint(id) << 32, ID: id << 16, DueAt: time.Now().Add(3 * time.Second)}
				if told {
					n.options.Returns.Add(time.Now(), entry, "")
				}
			}
			total += rounds(t, nodes, 1)
		}
		return total / len(nodes) / seconds
	}
	without := bytesOf(false)
	added := bytesOf(true) - without
	t.Logf("%d bytes a second for each node, %d more with %d returns a second", without, added, perSecond)
	if added > 4000 {
		t.Errorf("%d bytes a second for each node, want at most 4000", added)
	}
}

// Guards against a node with wrong times: no caller can have been told to return so late.
func TestReturnThatNoCallerWasToldIsIgnored(t *testing.T) {
	a, b := newTestNode("a", 100*second), newTestNode("b", 50*second)
	a.options.Returns, b.options.Returns = returns.NewTable(), returns.NewTable()
	a.options.Returns.Add(time.Now(), returns.Entry{Fingerprint: 7, DueAt: time.Now().Add(time.Hour)}, "")
	a.options.Returns.Add(time.Now(), returns.Entry{Fingerprint: 8, DueAt: time.Now().Add(3 * time.Second)}, "")
	a.exchangeWith(t, b, 0, 0)
	b.exchangeWith(t, a, 0, 0)
	if a.options.Returns.Len() != 2 || b.options.Returns.Len() != 1 {
		t.Errorf("%d and %d returns known, want 2 and 1", a.options.Returns.Len(), b.options.Returns.Len())
	}
}
