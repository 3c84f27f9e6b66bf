package nodesync

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"galenatrestle/internal/boottime"
)

// TestHubsAreTheBestOfEachZone compares the choice with sorted lists, in fleets of
// random nodes of which some are silent, leaving or not ready.
func TestHubsAreTheBestOfEachZone(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		n := newTestNode("self", 100*second)
		var all []Node
		for i := range 16 + random.IntN(300) {
			node := Node{
				Name: fmt.Sprintf("vm-%d", i), AvailabilityZone: fmt.Sprintf("z%d", random.IntN(4)),
				Ready: random.IntN(4) > 0, Leaving: random.IntN(8) == 0,
				ProcessorShare: float32(random.IntN(3)), HeardAt: 100*second - boottime.Instant(random.IntN(2))*30*second,
			}
			n.options.Nodes.Take(node)
			all = append(all, node)
		}
		got := n.chooseHubs(n.options.Self(), n.now)
		if want := hubsBySorting(append(all, n.options.Self()), n.now); !slices.Equal(names(got), names(want)) {
			t.Errorf("seed %d: hubs %v, want %v", seed, names(got), names(want))
		}
	}
}

// hubsBySorting is the plain way to choose, of which the last node is the choosing
// one.
func hubsBySorting(nodes []Node, now boottime.Instant) []Node {
	sizes := make(map[string]int)
	var staying []Node
	for i, n := range nodes {
		sizes[n.AvailabilityZone]++
		if i == len(nodes)-1 || now.Sub(n.HeardAt) < aliveFor && !n.Leaving {
			n.rank = rankOf(n.Name)
			staying = append(staying, n)
		}
	}
	if len(staying) < leastNodesWithHubs {
		return nil
	}
	slices.SortFunc(staying, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.AvailabilityZone, b.AvailabilityZone), compareForHub(&a, &b))
	})
	var hubs []Node
	taken := make(map[string]int)
	for _, n := range staying {
		zone := n.AvailabilityZone
		if taken[zone] < (sizes[zone]+nodesPerHub-1)/nodesPerHub {
			taken[zone]++
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
		if !nodes.Take(Node{Name: fmt.Sprintf("vm-%d", i), HeardAt: at}) {
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
	a.options.Nodes.Take(Node{Name: "seed", PeerAddress: "seed:1", HeardAt: a.now})
	a.options.Nodes.Take(Node{Name: "other", PeerAddress: "other:1", HeardAt: a.now})
	a.now += boottime.Instant(rememberFor) + second
	a.options.Nodes.Suggest(Node{Name: "other", PeerAddress: "other:1"}, a.now)
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
