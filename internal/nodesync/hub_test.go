package nodesync

import (
	"fmt"
	"testing"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/replica"
)

// largeFleet returns n nodes in three availability zones that know each other, each
// with one running request on replica "i".
func largeFleet(n int) []*testNode { return fleetOf(n, 3) }

// fleetOf returns n nodes as largeFleet does, in the given number of availability zones.
func fleetOf(n, zones int) []*testNode {
	listing := replica.Listing{Revision: 1, Replicas: []replica.Replica{{ID: "i", Upstream: "u", Address: "x:1"}}}
	var nodes []*testNode
	for i := range n {
		zone := fmt.Sprintf("z%d", i%zones)
		node := newTestNode(fmt.Sprintf("vm-%02d", i), 100*second)
		node.options.Replicas.Update(listing, 99*second, 99*second)
		node.options.Placer = placement.NewPlacer(zone, node.options.Replicas, node.options.Rand)
		originalSelf := node.options.Self
		node.options.Self = func() Node {
			self := originalSelf()
			self.AvailabilityZone = zone
			return self
		}
		node.options.Placer.Choose(time.Now(), "u", &placement.Request{})
		nodes = append(nodes, node)
	}
	for _, a := range nodes {
		for _, b := range nodes {
			self := b.options.Self()
			self.LastSeen = 100 * second
			a.options.Nodes.Merge(self)
		}
	}
	return nodes
}

// round makes each node call its targets once and returns the number of calls.
func round(t *testing.T, nodes []*testNode) (calls int) {
	t.Helper()
	byAddress := make(map[string]*testNode)
	for _, n := range nodes {
		byAddress[n.options.Self().PeerAddress] = n
	}
	for _, n := range nodes {
		for _, target := range n.targets() {
			if to, ok := byAddress[target.address]; ok && to != n {
				n.exchangeWith(t, to, 0, 0)
				calls++
			}
		}
	}
	return calls
}

func TestAllNodesAgreeOnHubs(t *testing.T) {
	nodes := largeFleet(30)
	for _, zone := range []string{"z0", "z1", "z2"} {
		want := nodes[0].hubOf(zone, 100*second)
		if want.AvailabilityZone != zone {
			t.Fatalf("hub of %s is %+v", zone, want)
		}
		for _, n := range nodes {
			if got := n.hubOf(zone, 100*second); got.Name != want.Name {
				t.Errorf("%s chooses %s as hub of %s, want %s", n.options.Self().Name, got.Name, zone, want.Name)
			}
		}
	}
	if hub := largeFleet(6)[0].hubOf("z0", 100*second); hub.Name != "" {
		t.Errorf("a fleet of six has hub %s", hub.Name)
	}
}

func TestFleetLoadReachesAllNodesInThreeRounds(t *testing.T) {
	// Loads expire after a second; a fake clock keeps slow machines from expiring them.
	bubbletest.Run(t, func(t *testing.T) {
		nodes := largeFleet(30)
		calls := 0
		for range 3 {
			calls += round(t, nodes)
		}
		for _, n := range nodes {
			sums := n.options.Placer.PeersRunning(time.Now())
			if got := sums["i"]; got != 29 {
				t.Errorf("%s counts %d running requests of the other nodes, want 29", n.options.Self().Name, got)
			}
		}
		if perRound := calls / 3; perRound > 3*len(nodes) {
			t.Errorf("%d calls per round for %d nodes", perRound, len(nodes))
		}
	})
}

func TestFailedHubIsReplaced(t *testing.T) {
	nodes := largeFleet(30)
	failed := nodes[0].hubOf("z1", 100*second)
	for _, n := range nodes {
		n.options.Nodes.MarkFailed(failed.Name, boottime.Instant(101*time.Second))
	}
	next := nodes[0].hubOf("z1", 100*second)
	if next.Name == failed.Name || next.Name == "" {
		t.Errorf("hub after failure of %s is %q", failed.Name, next.Name)
	}
}

func TestEachZoneHasOneHub(t *testing.T) {
	roles := make(map[Role]int)
	for _, n := range largeFleet(30) {
		roles[n.Role()]++
	}
	if roles[PrimaryHub] != 3 || roles[Member] != 27 {
		t.Errorf("roles %v, want a hub in each of three zones", roles)
	}
	if role := largeFleet(6)[0].Role(); role != Peer {
		t.Errorf("role %d in a fleet of six", role)
	}
}

func TestHubCallsAllOtherHubs(t *testing.T) {
	const zones = 9
	for _, n := range fleetOf(45, zones) {
		n.options.Nodes.AddCandidate(Node{Name: "silent", PeerAddress: "silent:1"}, n.now)
		targets := n.targets()
		if n.Role() == PrimaryHub && len(targets) < zones-1 {
			t.Errorf("hub calls %d nodes, want the hubs of %d other zones", len(targets), zones-1)
		}
		callsCandidate := false
		for _, target := range targets {
			callsCandidate = callsCandidate || target.name == "silent"
		}
		if !callsCandidate {
			t.Errorf("%s does not call the candidate node", n.options.Self().Name)
		}
	}
}
