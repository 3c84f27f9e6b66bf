package nodesync

import "testing"

// Nodes that know the same ones read the store in turns: each has a place of its own.
func TestEachNodeThatReadsForOthersHasATurnOfItsOwn(t *testing.T) {
	for name, test := range map[string]struct {
		nodes, zones, readers int
	}{
		"a small fleet":                {7, 3, 7},
		"a fleet with hubs":            {30, 3, 3},
		"zones with more than one hub": {80, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			turns := make(map[int]int)
			for _, node := range fleetOf(test.nodes, test.zones) {
				if role := node.Role(); role == Peer || role == PrimaryHub {
					turns[node.StoreReaderIndex()]++
				}
			}
			if len(turns) != test.readers {
				t.Errorf("turns %v, want %d", turns, test.readers)
			}
			for turn := range test.readers {
				if turns[turn] != 1 {
					t.Errorf("%d nodes have turn %d", turns[turn], turn)
				}
			}
		})
	}
}
