package nodesync

import "testing"

func TestStoreReadersHaveDistinctIndexes(t *testing.T) {
	for name, test := range map[string]struct {
		nodes, zones, readers int
	}{
		"a small fleet":                {7, 3, 7},
		"a fleet with hubs":            {30, 3, 3},
		"zones with more than one hub": {80, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			indexes := make(map[int]int)
			for _, node := range fleetOf(test.nodes, test.zones) {
				if role := node.Role(); role == Peer || role == PrimaryHub {
					indexes[node.StoreReaderIndex()]++
				}
			}
			if len(indexes) != test.readers {
				t.Errorf("indexes %v, want %d", indexes, test.readers)
			}
			for index := range test.readers {
				if indexes[index] != 1 {
					t.Errorf("%d nodes have index %d", indexes[index], index)
				}
			}
		})
	}
}
