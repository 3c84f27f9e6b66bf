package nodesync

import (
	"fmt"
	"testing"

	"galenatrestle/internal/boottime"
)

func TestSampleIsUniform(t *testing.T) {
	n := largeFleet(100)[0]
	times := make(map[string]int)
	for range 2000 {
		for _, node := range n.options.Nodes.sample(5, n.intN, func(r *record) bool { return r.AvailabilityZone == "z1" }) {
			times[node.Name]++
		}
	}
	// 33 nodes share 10,000 draws: 303 each, with a standard deviation of 17.
	if len(times) != 33 {
		t.Errorf("%d nodes sampled, want the 33 of z1", len(times))
	}
	for name, count := range times {
		if count < 200 || count > 400 {
			t.Errorf("%s was sampled %d times", name, count)
		}
	}
}

func TestFullTableEvictsSilentNodes(t *testing.T) {
	nodes := NewNodes("self", nil)
	for i := range 3 * MaxNodes {
		at := boottime.Instant(i) * second
		if !nodes.Merge(Node{Name: fmt.Sprintf("vm-%d", i), LastSeen: at}) {
			t.Fatalf("node %d is not stored", i)
		}
	}
	if len(nodes.sorted) != len(nodes.byName) || len(nodes.byName) > MaxNodes {
		t.Errorf("%d sorted and %d indexed records", len(nodes.sorted), len(nodes.byName))
	}
}

// TestLongPartitionHeals covers a partition longer than retentionTime.
func TestLongPartitionHeals(t *testing.T) {
	a := newTestNode("a", 100*second)
	a.options.Nodes.SetSeeds([]string{"seed:1"})
	a.options.Nodes.Merge(Node{Name: "seed", PeerAddress: "seed:1", LastSeen: a.now})
	a.options.Nodes.Merge(Node{Name: "other", PeerAddress: "other:1", LastSeen: a.now})
	a.now += boottime.Instant(retentionTime) + second
	a.options.Nodes.AddCandidate(Node{Name: "other", PeerAddress: "other:1"}, a.now)
	called := make(map[string]bool)
	for range 20 {
		for _, target := range a.targets() {
			called[target.address] = true
		}
	}
	if !called["seed:1"] || !called["other:1"] {
		t.Errorf("called %v after the partition", called)
	}
}
