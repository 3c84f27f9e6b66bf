package nodesync

import (
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/bubbletest"
)

// TestMembersSendLoadsToHubsOnly guards against sending loads twice, directly and in
// sums.
func TestMembersSendLoadsToHubsOnly(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		nodes := largeFleet(30)
		hub := nodes[0].hubOf("z0", 100*second)
		member, other := memberOf(nodes, hub.Name), memberOf(nodes, nodes[0].hubOf("z1", 100*second).Name)
		omitsLoads := func(name string) bool { return member.request(target{name: name}, member.now).GetWithoutLoads() }
		if omitsLoads(other.options.Self().Name) {
			t.Error("member without sums omits loads for another member")
		}
		for range 3 {
			round(t, nodes)
		}
		if !omitsLoads(other.options.Self().Name) {
			t.Error("member with sums sends loads to another member")
		}
		if omitsLoads(hub.Name) {
			t.Error("member omits loads for its hub")
		}
		request := member.request(target{name: other.options.Self().Name}, member.now)
		response, err := other.Exchange(t.Context(), connect.NewRequest(request))
		if err != nil {
			t.Fatal(err)
		}
		message := response.Msg
		if len(message.GetLoads()) > 0 || len(message.GetPlacements()) > 0 {
			t.Errorf("member responds with loads %v and placements %v", message.GetLoads(), message.GetPlacements())
		}
		if !other.options.Placer.HasFleetLoads(time.Now()) || other.options.Placer.HasFleetLoads(time.Now().Add(time.Hour)) {
			t.Error("fleet sums must be available now and expire within an hour")
		}
	})
}

// memberOf returns a node whose loads the hub aggregates.
func memberOf(nodes []*testNode, hub string) *testNode {
	for _, n := range nodes {
		if self := n.options.Self(); self.Name != hub && hubFor(self, n.hubs(n.now)).Name == hub {
			return n
		}
	}
	return nil
}

func findNode(nodes []*testNode, name string) *testNode {
	for _, n := range nodes {
		if n.options.Self().Name == name {
			return n
		}
	}
	return nil
}

// hubOf returns the first hub of the availability zone in the view of the node.
func (n *testNode) hubOf(zone string, now boottime.Instant) Node {
	for _, hub := range n.hubs(now) {
		if hub.AvailabilityZone == zone {
			return hub
		}
	}
	return Node{}
}

// TestLargeZoneHasSeveralHubs guards against overloading a hub with too many members.
func TestLargeZoneHasSeveralHubs(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		nodes := fleetOf(240, 3)
		hubs := nodes[0].hubs(nodes[0].now)
		if want := 3 * 3; len(hubs) != want {
			t.Fatalf("%d hubs for three zones of 80 nodes, want %d", len(hubs), want)
		}
		roles := make(map[Role]int)
		for _, n := range nodes {
			roles[n.Role()]++
		}
		if roles[PrimaryHub] != 3 || roles[SecondaryHub] != 6 || roles[Member] != 231 {
			t.Errorf("roles %v, want one primary hub in each zone", roles)
		}
		memberCounts := make(map[string]int)
		for _, n := range nodes {
			self := n.options.Self()
			hub := hubFor(self, n.hubs(n.now))
			if hub.AvailabilityZone != self.AvailabilityZone {
				t.Errorf("%s in %s has a hub in %s", self.Name, self.AvailabilityZone, hub.AvailabilityZone)
			}
			memberCounts[hub.Name]++
		}
		for name, members := range memberCounts {
			if members > 2*nodesPerHub {
				t.Errorf("%d members of hub %s", members, name)
			}
		}
		for range 3 {
			round(t, nodes)
		}
		for _, n := range nodes {
			if got := n.options.Placer.PeersRunning(time.Now())["i"]; got != 239 {
				t.Errorf("%s counts %d running requests of the other nodes, want 239", n.options.Self().Name, got)
			}
		}
	})
}

func TestNodesWithLargestProcessorShareBecomeHubs(t *testing.T) {
	nodes := largeFleet(30)
	large := nodes[10].options.Self()
	large.ProcessorShare, large.LastSeen = 0.8, 101*second
	nodes[0].now = 101 * second
	nodes[0].options.Nodes.Merge(large)
	if hub := nodes[0].hubOf(large.AvailabilityZone, nodes[0].now); hub.Name != large.Name {
		t.Errorf("hub is %s, want %s with the largest processor share", hub.Name, large.Name)
	}
}

// TestResponseIncludesHubs: nodes need current state of the hubs, which a random sample of
// the fleet rarely includes.
func TestResponseIncludesHubs(t *testing.T) {
	nodes := fleetOf(240, 3)
	hubs := nodes[0].hubs(nodes[0].now)
	for _, n := range nodes[:20] {
		included := n.nodesForResponse("", n.now)
		if len(included) > len(hubs)+maxSampledNodes {
			t.Errorf("%d nodes are told", len(included))
		}
		for _, hub := range hubs {
			if hub.Name != n.options.Self().Name && !slices.ContainsFunc(included, func(n Node) bool { return n.Name == hub.Name }) {
				t.Errorf("response of %s lacks the hub %s", n.options.Self().Name, hub.Name)
			}
		}
	}
}

// TestHubsRemainDuringStoreOutage: in an outage of the platform's store no node is
// ready.
func TestHubsRemainDuringStoreOutage(t *testing.T) {
	nodes := largeFleet(30)
	before := nodes[0].hubs(nodes[0].now)
	for _, n := range nodes {
		self := n.options.Self()
		self.Ready, self.LastSeen = false, 101*second
		for _, other := range nodes {
			other.now = 101 * second
			other.options.Nodes.Merge(self)
		}
	}
	for _, n := range nodes {
		originalSelf := n.options.Self
		n.options.Self = func() Node {
			self := originalSelf()
			self.Ready = false
			return self
		}
		if after := n.hubs(n.now); len(after) != len(before) {
			t.Errorf("%s sees %d hubs, want %d", n.options.Self().Name, len(after), len(before))
		}
	}
	// A ready node precedes those that are not.
	ready := nodes[10].options.Self()
	ready.Ready, ready.LastSeen = true, 102*second
	nodes[0].now = 102 * second
	nodes[0].options.Nodes.Merge(ready)
	if hub := nodes[0].hubOf(ready.AvailabilityZone, nodes[0].now); hub.Name != ready.Name {
		t.Errorf("hub is %s, want %s, the only ready node", hub.Name, ready.Name)
	}
}

// TestMembersMostlyCallTheirOwnZone: traffic between availability zones costs money.
func TestMembersMostlyCallTheirOwnZone(t *testing.T) {
	nodes := largeFleet(30)
	hub := nodes[0].hubOf("z0", nodes[0].now)
	member := memberOf(nodes, hub.Name)
	calls := make(map[string]int)
	for range 80 {
		for _, target := range member.targets() {
			if target.name == hub.Name {
				calls["hub"]++
			} else {
				calls[findNode(nodes, target.name).options.Self().AvailabilityZone]++
			}
		}
	}
	crossZone := calls["z1"] + calls["z2"]
	if calls["hub"] < 80 || calls["z0"] < 20 || crossZone == 0 || crossZone > 15 {
		t.Errorf("calls in 80 rounds: %v", calls)
	}
}

// markSeen marks the others as seen by the node now.
func (n *testNode) markSeen(others []*testNode) {
	for _, other := range others {
		self := other.options.Self()
		self.LastSeen = n.now
		n.options.Nodes.Merge(self)
	}
}

// TestSilentNodesCountForNumberOfHubs: nodes that recently saw different nodes must
// still agree on the hubs.
func TestSilentNodesCountForNumberOfHubs(t *testing.T) {
	nodes := fleetOf(240, 3)
	want := len(nodes[0].hubs(nodes[0].now))
	a := nodes[1]
	a.now += 5 * second
	a.markSeen(nodes[:120])
	if got := len(a.hubs(a.now)); got != want {
		t.Errorf("%d hubs with half of the nodes seen recently, want %d", got, want)
	}
}

// TestRarelySeenNodesAreNotProbed: in a large fleet most nodes are seen rarely, and
// probing them all would dominate the calls.
func TestRarelySeenNodesAreNotProbed(t *testing.T) {
	nodes := fleetOf(240, 3)
	a := nodes[1]
	a.now += 2 * second
	a.markSeen(nodes[:120])
	for range 20 {
		if targets := a.targets(); len(targets) > callsPerRound {
			t.Fatalf("%d nodes are called in a round", len(targets))
		}
	}
	a.options.Nodes.AddCandidate(Node{Name: "new", PeerAddress: "new:1"}, a.now)
	if !slices.ContainsFunc(a.targets(), func(t target) bool { return t.name == "new" }) {
		t.Error("candidate node is not called")
	}
}

// TestNonHubSendsNoSums: without the sums of other hubs, its fleet sum would be too low.
func TestNonHubSendsNoSums(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		nodes := largeFleet(30)
		for range 3 {
			round(t, nodes)
		}
		hub := nodes[0].hubOf("z0", nodes[0].now)
		member := memberOf(nodes, hub.Name)
		request := member.request(target{name: hub.Name}, member.now)
		other := memberOf(nodes, nodes[0].hubOf("z1", nodes[0].now).Name)
		response, err := other.Exchange(t.Context(), connect.NewRequest(request))
		if err != nil {
			t.Fatal(err)
		}
		if sums := response.Msg; len(sums.GetFleetLoads()) > 0 || len(sums.GetGroupLoads()) > 0 {
			t.Errorf("fleet sums %v and group sums %v, want none", sums.GetFleetLoads(), sums.GetGroupLoads())
		}
	})
}
