package nodesync

import (
	"slices"
	"testing"
)

// Guards against records that no node saves or that nodes look for elsewhere than they are kept.
func TestRecordsAreKeptWhereNodesLookForThem(t *testing.T) {
	for size, wantSavers := range map[int]int{1: 1, 2: 1, 7: 1, 60: -1} {
		nodes := fleetOf(size, 3)
		savers := 0
		for _, n := range nodes {
			self := n.options.Self().Name
			keepers, savesItself := n.RecordKeepers()
			if savesItself {
				savers++
			}
			least := min(recordKeepers, size-1)
			if size >= minNodesForHubs && savesItself {
				// A hub has its own copy, and one at another hub.
				least--
			}
			if len(keepers) < least || len(keepers) > recordKeepers+1 || hasNode(keepers, self) {
				t.Errorf("%d nodes: %s has keepers %v", size, self, names(keepers))
			}
			for _, other := range nodes {
				if other == n {
					continue
				}
				holders, known := other.RecordHolders()
				if known < len(holders)+1 {
					t.Errorf("%d nodes: %d of %d holders known", size, known, len(holders)+1)
				}
				looksThere := func(k Node) bool { return hasNode(holders, k.Name) || other.options.Self().Name == k.Name }
				if len(keepers) > 0 && !slices.ContainsFunc(keepers, looksThere) {
					t.Errorf("%d nodes: %s looks at %v, %s keeps at %v", size, other.options.Self().Name, names(holders), self, names(keepers))
				}
			}
		}
		if wantSavers < 0 {
			wantSavers = nodes[0].RecordSavers()
		}
		if savers != wantSavers {
			t.Errorf("%d nodes: %d save their own records, want %d", size, savers, wantSavers)
		}
	}
}

// All nodes had the same keepers, so that the records of all were lost with these.
func TestNodesThatAreLostTogetherTakeFewRecordsWithThem(t *testing.T) {
	nodes := fleetOf(7, 3)
	for i := range nodes {
		for j := range i {
			for k := range j {
				lost := 0
				killed := []Node{nodes[i].options.Self(), nodes[j].options.Self(), nodes[k].options.Self()}
				for _, n := range []*testNode{nodes[i], nodes[j], nodes[k]} {
					keepers, _ := n.RecordKeepers()
					if !slices.ContainsFunc(keepers, func(n Node) bool { return !hasNode(killed, n.Name) }) {
						lost++
					}
				}
				if lost > 1 {
					t.Errorf("the records of %d nodes are lost with %v", lost, names(killed))
				}
			}
		}
	}
}
