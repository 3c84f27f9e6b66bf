package nodesync

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"galenatrestle/internal/boottime"
)

// TestHubsAreTheBestOfEachZone compares chooseHubs with hubsBySorting in random fleets.
func TestHubsAreTheBestOfEachZone(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		n := newTestNode("self", 100*second)
		var all []Node
		for i := range 16 + random.IntN(300) {
			node := Node{
				Name: fmt.Sprintf("vm-%d", i), AvailabilityZone: fmt.Sprintf("z%d", random.IntN(4)),
				Ready: random.IntN(4) > 0, Leaving: random.IntN(8) == 0,
				ProcessorShare: float32(random.IntN(3)), LastSeen: 100*second - boottime.Instant(random.IntN(2))*30*second,
			}
			n.options.Nodes.Merge(node)
			all = append(all, node)
		}
		got := n.chooseHubs(n.options.Self(), n.now)
		if want := hubsBySorting(append(all, n.options.Self()), n.now); !slices.Equal(names(got), names(want)) {
			t.Errorf("seed %d: hubs %v, want %v", seed, names(got), names(want))
		}
	}
}

// hubsBySorting is a reference implementation of chooseHubs. The last node is the one
// that chooses.
func hubsBySorting(nodes []Node, now boottime.Instant) []Node {
	sizes := make(map[string]int)
	var eligible []Node
	for i, n := range nodes {
		sizes[n.AvailabilityZone]++
		if i == len(nodes)-1 || now.Sub(n.LastSeen) < aliveTimeout && !n.Leaving {
			n.rank = hashRank(n.Name)
			eligible = append(eligible, n)
		}
	}
	if len(eligible) < minNodesForHubs {
		return nil
	}
	slices.SortFunc(eligible, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.AvailabilityZone, b.AvailabilityZone), compareHubCandidates(&a, &b))
	})
	var hubs []Node
	hubCount := make(map[string]int)
	for _, n := range eligible {
		zone := n.AvailabilityZone
		if hubCount[zone] < (sizes[zone]+nodesPerHub-1)/nodesPerHub {
			hubCount[zone]++
			hubs = append(hubs, n)
		}
	}
	return hubs
}

func names(nodes []Node) []string {
	var list []string
	for _, n := range nodes {
		list = append(list, n.Name)
	}
	return list
}
