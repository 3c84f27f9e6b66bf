package nodesync

import (
	"slices"
	"testing"
)

// TestCallersOfAZoneAreSentToItsNodes: a fleet of hundreds, of which callers take a
// part only. Where the same first nodes were told to all, four zones of five sent
// everything across.
func TestCallersOfAZoneAreSentToItsNodes(t *testing.T) {
	nodes := fleetOf(240, 5)
	taken := make(map[string]int)
	for _, zone := range []string{"z0", "z1", "z2", "z3", "z4"} {
		want := names(nodes[0].EntryNodes(zone))
		if len(want) != EntryNodesPerZone {
			t.Fatalf("%s: %d entries, want %d", zone, len(want), EntryNodesPerZone)
		}
		for _, n := range nodes {
			if got := names(n.EntryNodes(zone)); !slices.Equal(got, want) {
				t.Errorf("%s: %s tells %v, others %v", zone, n.options.Self().Name, got, want)
			}
		}
		for _, entry := range nodes[0].EntryNodes(zone) {
			taken[entry.AvailabilityZone]++
			if entry.AvailabilityZone != zone {
				t.Errorf("callers of %s are sent to %s", zone, entry.AvailabilityZone)
			}
		}
	}
	if len(taken) != 5 {
		t.Errorf("entries of %v", taken)
	}
}

// TestEntriesHaveTheMostProcessor: they serve what the others of their zone do not.
func TestEntriesHaveTheMostProcessor(t *testing.T) {
	nodes := fleetOf(240, 3)
	strong := nodes[9].options.Self()
	strong.ProcessorShare, strong.LastSeen = 0.8, 101*second
	nodes[0].now = 101 * second
	nodes[0].options.Nodes.Merge(strong)
	if first := nodes[0].EntryNodes(strong.AvailabilityZone)[0]; first.Name != strong.Name {
		t.Errorf("the first entry is %s, want %s, which has the most processor", first.Name, strong.Name)
	}
}

// TestCallersOfALostZoneAreSentElsewhere: to different nodes for each zone.
func TestCallersOfALostZoneAreSentElsewhere(t *testing.T) {
	nodes := fleetOf(240, 3)
	n := nodes[1]
	for _, other := range nodes {
		if self := other.options.Self(); self.AvailabilityZone == "z0" {
			n.options.Nodes.MarkFailed(self.Name, 101*second)
		}
	}
	lost, unknown := n.EntryNodes("z0"), n.EntryNodes("somewhere")
	if len(lost) != EntryNodesPerZone || len(unknown) != EntryNodesPerZone {
		t.Fatalf("%d and %d entries", len(lost), len(unknown))
	}
	for _, entry := range lost {
		if entry.AvailabilityZone == "z0" {
			t.Errorf("callers are sent to %s, which is gone", entry.Name)
		}
	}
	if slices.Equal(names(lost), names(unknown)) {
		t.Error("callers of all lost zones are sent to the same nodes")
	}
}

// TestEachAnswerTellsTheEntriesOfTheZone: their news are needed by all nodes that
// callers of the zone ask.
func TestEachAnswerTellsTheEntriesOfTheZone(t *testing.T) {
	nodes := fleetOf(240, 3)
	n := nodes[5]
	told := names(n.told("z1", n.now))
	for _, entry := range n.EntryNodes("z1") {
		if entry.Name != n.options.Self().Name && !slices.Contains(told, entry.Name) {
			t.Errorf("%s does not tell of the entry %s", n.options.Self().Name, entry.Name)
		}
	}
	if slices.Sort(told); len(slices.Compact(told)) != len(told) {
		t.Errorf("a node is told twice: %v", told)
	}
}
