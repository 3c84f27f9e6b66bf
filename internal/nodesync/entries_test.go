package nodesync

import (
	"slices"
	"testing"
)

// TestEntryNodesAreInTheCallersZone guards against sending most callers to other zones.
func TestEntryNodesAreInTheCallersZone(t *testing.T) {
	nodes := fleetOf(240, 5)
	countByZone := make(map[string]int)
	for _, zone := range []string{"z0", "z1", "z2", "z3", "z4"} {
		want := names(nodes[0].EntryNodes(zone))
		if len(want) != EntryNodesPerZone {
			t.Fatalf("%s: %d entry nodes, want %d", zone, len(want), EntryNodesPerZone)
		}
		for _, n := range nodes {
			if got := names(n.EntryNodes(zone)); !slices.Equal(got, want) {
				t.Errorf("%s: entry nodes computed by %s are %v, want %v", zone, n.options.Self().Name, got, want)
			}
		}
		for _, entry := range nodes[0].EntryNodes(zone) {
			countByZone[entry.AvailabilityZone]++
			if entry.AvailabilityZone != zone {
				t.Errorf("entry node of %s is in %s", zone, entry.AvailabilityZone)
			}
		}
	}
	if len(countByZone) != 5 {
		t.Errorf("entry nodes by zone: %v, want five zones", countByZone)
	}
}

func TestEntryNodesHaveTheLargestProcessorShare(t *testing.T) {
	nodes := fleetOf(240, 3)
	large := nodes[9].options.Self()
	large.ProcessorShare, large.LastSeen = 0.8, 101*second
	nodes[0].now = 101 * second
	nodes[0].options.Nodes.Merge(large)
	if first := nodes[0].EntryNodes(large.AvailabilityZone)[0]; first.Name != large.Name {
		t.Errorf("first entry node is %s, want %s with the largest processor share", first.Name, large.Name)
	}
}

func TestCallersOfLostZoneAreSentToOtherZones(t *testing.T) {
	nodes := fleetOf(240, 3)
	n := nodes[1]
	for _, other := range nodes {
		if self := other.options.Self(); self.AvailabilityZone == "z0" {
			n.options.Nodes.MarkFailed(self.Name, 101*second)
		}
	}
	lost, unknown := n.EntryNodes("z0"), n.EntryNodes("somewhere")
	if len(lost) != EntryNodesPerZone || len(unknown) != EntryNodesPerZone {
		t.Fatalf("%d and %d entry nodes", len(lost), len(unknown))
	}
	for _, entry := range lost {
		if entry.AvailabilityZone == "z0" {
			t.Errorf("callers are sent to %s, which has failed", entry.Name)
		}
	}
	if slices.Equal(names(lost), names(unknown)) {
		t.Error("different lost zones have the same entry nodes")
	}
}

func TestResponseIncludesEntryNodes(t *testing.T) {
	nodes := fleetOf(240, 3)
	n := nodes[5]
	included := names(n.nodesForResponse("z1", n.now))
	for _, entry := range n.EntryNodes("z1") {
		if entry.Name != n.options.Self().Name && !slices.Contains(included, entry.Name) {
			t.Errorf("response of %s lacks the entry node %s", n.options.Self().Name, entry.Name)
		}
	}
	if slices.Sort(included); len(slices.Compact(included)) != len(included) {
		t.Errorf("duplicate node in the response: %v", included)
	}
}
