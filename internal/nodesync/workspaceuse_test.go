package nodesync

import (
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/fairshare"
)

// withUse turns sharing on at all nodes, and has each start a call of the workspace that costs 100 tokens.
func withUse(nodes []*testNode) []*testNode {
	for _, n := range nodes {
		n.options.FairShare = fairshare.New(fairshare.Options{Window: 2 * time.Second, MinShare: 0.1})
		n.options.FairShare.Observe(time.Now(), fairshare.Call{Upstream: "u", Workspace: "w", Cost: 100})
	}
	return nodes
}

// othersUse returns what the node knows of the workspace's use at other nodes.
func (n *testNode) othersUse() fairshare.Cost {
	sums, _ := n.options.FairShare.OthersUse(time.Now())
	return sums["u"].Workspaces[fairshare.IDOf("w")]
}

// Use must reach all nodes, and count once, in fleets without hubs, with hubs, and in those whose hubs call
// other zones only through the primary ones.
func TestWorkspaceUseReachesAllNodes(t *testing.T) {
	for _, fleet := range []struct{ nodes, zones, rounds int }{{6, 1, 6}, {30, 3, 3}, {600, 5, 5}} {
		bubbletest.Run(t, func(t *testing.T) {
			nodes := withUse(fleetOf(fleet.nodes, fleet.zones))
			for range fleet.rounds {
				round(t, nodes)
			}
			want := float64(100 * (fleet.nodes - 1))
			for _, n := range nodes {
				if got := n.othersUse(); got != (fairshare.Cost{Asked: want, Started: want}) {
					t.Errorf("%d nodes: %s knows of %+v at the others, want %v", fleet.nodes, n.options.Self().Name, got, want)
				}
			}
		})
	}
}

// A fleet that is cut in two, of which each half divides what it sees. A node that died is a half of one.
func TestUseOfNodesOutOfReachIsDropped(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		nodes := withUse(fleetOf(6, 1))
		for range 6 {
			round(t, nodes)
		}
		time.Sleep(1100 * time.Millisecond)
		if got := nodes[0].othersUse(); got != (fairshare.Cost{}) {
			t.Errorf("without updates a node still counts %+v", got)
		}
		withUse(nodes)
		for range 6 {
			round(t, nodes[:3])
			round(t, nodes[3:])
		}
		for _, n := range nodes {
			if got := n.othersUse().Started; got != 200 {
				t.Errorf("%s knows of %v at the others, want the 200 of its half", n.options.Self().Name, got)
			}
		}
	})
}

// A node whose settings do not turn sharing on must neither send use nor fail on that of others.
func TestNodeWithoutSharingIgnoresUse(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		nodes := withUse(fleetOf(2, 1))
		nodes[1].options.FairShare = nil
		nodes[0].exchangeWith(t, nodes[1], 0, 0)
		nodes[1].exchangeWith(t, nodes[0], 0, 0)
		if got := nodes[0].othersUse(); got != (fairshare.Cost{}) {
			t.Errorf("use %+v of a node without sharing", got)
		}
	})
}
