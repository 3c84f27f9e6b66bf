package nodesync

import (
	"fmt"
	"testing"

	"galenatrestle/internal/boottime"
)

// TestDrawnNodesAreSpread draws from a fleet again and again: each node has its turn,
// and the ones left out never.
func TestDrawnNodesAreSpread(t *testing.T) {
	n := largeFleet(100)[0]
	times := make(map[string]int)
	for range 2000 {
		for _, node := range n.options.Nodes.draw(5, n.intN, func(r *record) bool { return r.AvailabilityZone == "z1" }) {
			times[node.Name]++
		}
	}
	// 33 nodes share 10,000 draws: 303 each, give or take 17.
	if len(times) != 33 {
		t.Errorf("%d nodes drawn, want those of z1", len(times))
	}
	for name, count := range times {
		if count < 200 || count > 400 {
			t.Errorf("%s was drawn %d times", name, count)
		}
	}
}

// TestAFullTableForgetsTheSilent replaces nodes for weeks.
func TestAFullTableForgetsTheSilent(t *testing.T) {
	nodes := NewNodes("self", nil)
	for i := range 3 * MaxNodes {
		at := boottime.Instant(i) * second
		if !nodes.Merge(Node{Name: fmt.Sprintf("vm-%d", i), LastSeen: at}) {
			t.Fatalf("node %d is not remembered", i)
		}
	}
	if len(nodes.ordered) != len(nodes.known) || len(nodes.known) > MaxNodes {
		t.Errorf("%d and %d records", len(nodes.ordered), len(nodes.known))
	}
}

// TestTheSidesOfALongPartitionFindEachOther: longer than a silent node is asked. What
// the settings and the store name is asked again.
func TestTheSidesOfALongPartitionFindEachOther(t *testing.T) {
	a := newTestNode("a", 100*second)
	a.options.Nodes.SetSeeds([]string{"seed:1"})
	a.options.Nodes.Merge(Node{Name: "seed", PeerAddress: "seed:1", LastSeen: a.now})
	a.options.Nodes.Merge(Node{Name: "other", PeerAddress: "other:1", LastSeen: a.now})
	a.now += boottime.Instant(rememberFor) + second
	a.options.Nodes.AddCandidate(Node{Name: "other", PeerAddress: "other:1"}, a.now)
	asked := make(map[string]bool)
	for range 20 {
		for _, target := range a.targets() {
			asked[target.address] = true
		}
	}
	if !asked["seed:1"] || !asked["other:1"] {
		t.Errorf("asked %v after the partition", asked)
	}
}
