package nodesync

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/boottime"
)

// TestMembersTellLoadsToHubsOnly: in a fleet with hubs the sums bring the loads, and
// what two members tell each other of theirs crosses availability zones for nothing.
func TestMembersTellLoadsToHubsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := largeFleet(30)
		hub := nodes[0].hubOf("z0", 100*second)
		member, other := memberOf(nodes, hub.Name), memberOf(nodes, nodes[0].hubOf("z1", 100*second).Name)
		ask := func(name string) bool { return member.request(target{name: name}, member.now).GetWithoutLoads() }
		if ask(other.options.Self().Name) {
			t.Error("a member that has no sums yet tells no loads")
		}
		for range 3 {
			round(t, nodes)
		}
		if !ask(other.options.Self().Name) {
			t.Error("a member tells another one its loads")
		}
		if ask(hub.Name) {
			t.Error("a member tells its hub no loads")
		}
		request := member.request(target{name: other.options.Self().Name}, member.now)
		response, err := other.Exchange(t.Context(), connect.NewRequest(request))
		if err != nil {
			t.Fatal(err)
		}
		answer := response.Msg
		if len(answer.GetLoads()) > 0 || len(answer.GetPlacements()) > 0 {
			t.Errorf("a member answers with loads %v and placements %v", answer.GetLoads(), answer.GetPlacements())
		}
		if !other.options.Placer.HasFleetLoads(time.Now()) || other.options.Placer.HasFleetLoads(time.Now().Add(time.Hour)) {
			t.Error("the sums of a fleet count for a while")
		}
	})
}

// memberOf is a node for which the hub adds up.
func memberOf(nodes []*testNode, hub string) *testNode {
	for _, n := range nodes {
		if self := n.options.Self(); self.Name != hub && hubFor(self, n.hubs(n.now)).Name == hub {
			return n
		}
	}
	return nil
}

// named is the node of the name.
func named(nodes []*testNode, name string) *testNode {
	for _, n := range nodes {
		if n.options.Self().Name == name {
			return n
		}
	}
	return nil
}

// hubOf is the first hub of the availability zone, as the node sees it.
func (n *testNode) hubOf(zone string, now boottime.Instant) Node {
	for _, hub := range n.hubs(now) {
		if hub.AvailabilityZone == zone {
			return hub
		}
	}
	return Node{}
}

// TestALargeZoneHasSeveralHubs: one hub for a hundred nodes is asked 500 times a
// second, which is more than a small VM's processor and link bear.
func TestALargeZoneHasSeveralHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
			t.Errorf("roles %v, want one first hub in each zone", roles)
		}
		asked := make(map[string]int)
		for _, n := range nodes {
			self := n.options.Self()
			hub := hubFor(self, n.hubs(n.now))
			if hub.AvailabilityZone != self.AvailabilityZone {
				t.Errorf("%s of %s asks a hub of %s", self.Name, self.AvailabilityZone, hub.AvailabilityZone)
			}
			asked[hub.Name]++
		}
		for name, members := range asked {
			if members > 2*nodesPerHub {
				t.Errorf("%d nodes ask the hub %s", members, name)
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

// TestNodesWithMoreProcessorBecomeHubs: hubs work for the others.
func TestNodesWithMoreProcessorBecomeHubs(t *testing.T) {
	nodes := largeFleet(30)
	strong := nodes[10].options.Self()
	strong.ProcessorShare, strong.LastSeen = 0.8, 101*second
	nodes[0].now = 101 * second
	nodes[0].options.Nodes.Merge(strong)
	if hub := nodes[0].hubOf(strong.AvailabilityZone, nodes[0].now); hub.Name != strong.Name {
		t.Errorf("the hub is %s, want %s, which has the most processor", hub.Name, strong.Name)
	}
}

// TestEachAnswerTellsTheHubs: a node of a large fleet hears of most others seldom.
func TestEachAnswerTellsTheHubs(t *testing.T) {
	nodes := fleetOf(240, 3)
	hubs := nodes[0].hubs(nodes[0].now)
	for _, n := range nodes[:20] {
		told := n.told("", n.now)
		if len(told) > len(hubs)+maxTold {
			t.Errorf("%d nodes are told", len(told))
		}
		for _, hub := range hubs {
			if hub.Name != n.options.Self().Name && !slices.ContainsFunc(told, func(n Node) bool { return n.Name == hub.Name }) {
				t.Errorf("%s does not tell of the hub %s", n.options.Self().Name, hub.Name)
			}
		}
	}
}

// TestHubsStayInAnOutageOfTheStore: no node is ready then.
func TestHubsStayInAnOutageOfTheStore(t *testing.T) {
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
		plain := n.options.Self
		n.options.Self = func() Node {
			self := plain()
			self.Ready = false
			return self
		}
		if after := n.hubs(n.now); len(after) != len(before) {
			t.Errorf("%s sees %d hubs, want %d", n.options.Self().Name, len(after), len(before))
		}
	}
	// A ready node goes before those that are not.
	ready := nodes[10].options.Self()
	ready.Ready, ready.LastSeen = true, 102*second
	nodes[0].now = 102 * second
	nodes[0].options.Nodes.Merge(ready)
	if hub := nodes[0].hubOf(ready.AvailabilityZone, nodes[0].now); hub.Name != ready.Name {
		t.Errorf("the hub is %s, want %s, which alone is ready", hub.Name, ready.Name)
	}
}

// TestMembersMostlyAskInTheirZone: what crosses availability zones is paid for.
func TestMembersMostlyAskInTheirZone(t *testing.T) {
	nodes := largeFleet(30)
	hub := nodes[0].hubOf("z0", nodes[0].now)
	member := memberOf(nodes, hub.Name)
	asked := make(map[string]int)
	for range 80 {
		for _, target := range member.targets() {
			if target.name == hub.Name {
				asked["hub"]++
			} else {
				asked[named(nodes, target.name).options.Self().AvailabilityZone]++
			}
		}
	}
	across := asked["z1"] + asked["z2"]
	if asked["hub"] < 80 || asked["z0"] < 20 || across == 0 || across > 15 {
		t.Errorf("asked %v in 80 rounds", asked)
	}
}

// hearsOf has the node hear of the others now.
func (n *testNode) hearsOf(others []*testNode) {
	for _, other := range others {
		self := other.options.Self()
		self.LastSeen = n.now
		n.options.Nodes.Merge(self)
	}
}

// TestSilentNodesCountForTheNumberOfHubs: nodes that hear of different ones lately
// still agree on the hubs.
func TestSilentNodesCountForTheNumberOfHubs(t *testing.T) {
	nodes := fleetOf(240, 3)
	want := len(nodes[0].hubs(nodes[0].now))
	a := nodes[1]
	a.now += 5 * second
	a.hearsOf(nodes[:120])
	if got := len(a.hubs(a.now)); got != want {
		t.Errorf("%d hubs where half of the nodes were heard of lately, want %d", got, want)
	}
}

// TestNodesHeardOfNowAndThenAreNotLookedFor: in a large fleet that are most.
func TestNodesHeardOfNowAndThenAreNotLookedFor(t *testing.T) {
	nodes := fleetOf(240, 3)
	a := nodes[1]
	a.now += 2 * second
	a.hearsOf(nodes[:120])
	for range 20 {
		if targets := a.targets(); len(targets) > callsPerRound {
			t.Fatalf("%d nodes are asked in a round", len(targets))
		}
	}
	a.options.Nodes.AddCandidate(Node{Name: "new", PeerAddress: "new:1"}, a.now)
	if !slices.ContainsFunc(a.targets(), func(t target) bool { return t.name == "new" }) {
		t.Error("a node that was announced is not looked for")
	}
}

// TestANodeThatIsNoHubTellsNoSums: it hears of no other hub's part, so that what it
// could tell as the fleet's use would be a small part of it.
func TestANodeThatIsNoHubTellsNoSums(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
			t.Errorf("sums of the fleet %v and of a group %v", sums.GetFleetLoads(), sums.GetGroupLoads())
		}
	})
}
