package nodesync

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/replica"
)

// startingFleet returns n nodes in five availability zones of which each knows only the three
// seeds. All use the part of their zone.
func startingFleet(n int) []*testNode {
	var nodes []*testNode
	for i := range n {
		zone := fmt.Sprintf("z%d", i%5)
		node := newTestNode(fmt.Sprintf("vm-%04d", i), 100*second)
		set := replica.NewZoneSet(zone)
		node.options.IdleRoundInterval = func() int { return 4 }
		node.options.Replicas, node.options.Placer = set, placement.NewPlacer(zone, set, node.options.Rand)
		originalSelf := node.options.Self
		node.options.Self = func() Node {
			self := originalSelf()
			self.AvailabilityZone = zone
			return self
		}
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		for _, seed := range nodes[:min(3, n)] {
			self := seed.options.Self()
			self.LastSeen = node.now
			node.options.Nodes.Merge(self)
		}
	}
	return nodes
}

const ticksPerSecond = 5

// tick lets each node that is due call its targets, and then passes the time to the next tick.
func tick(nodes []*testNode, number int, call func(*testNode, target)) {
	for i, n := range nodes {
		// Nodes that start together do not make their rounds together.
		if n.due(number + i) {
			for _, t := range n.targets() {
				call(n, t)
			}
		}
	}
	for _, n := range nodes {
		n.now += second / ticksPerSecond
	}
}

func nodesByAddress(nodes []*testNode) map[string]*testNode {
	byAddress := make(map[string]*testNode, len(nodes))
	for _, n := range nodes {
		byAddress[n.options.Self().PeerAddress] = n
	}
	return byAddress
}

// callAnother makes one call to another node, without a connection, and returns the bytes of its
// messages.
func (n *testNode) callAnother(to *testNode, t target) (bytes int, err error) {
	request := n.request(t, n.now)
	response, err := to.Exchange(context.Background(), connect.NewRequest(request))
	if err != nil {
		return 0, err
	}
	n.handleResponse(response.Msg, request, n.now)
	if response.Msg.GetReplicasOmitted() {
		n.fetchFrom(to)
	}
	return proto.Size(request) + proto.Size(response.Msg), nil
}

// rounds runs the given number of ticks and returns the bytes of all messages.
func rounds(t *testing.T, nodes []*testNode, count int) (bytes int) {
	t.Helper()
	byAddress := nodesByAddress(nodes)
	for number := range count {
		tick(nodes, number, func(n *testNode, callee target) {
			to, ok := byAddress[callee.address]
			if !ok || to == n {
				return
			}
			size, err := n.callAnother(to, callee)
			if err != nil {
				t.Fatal(err)
			}
			bytes += size
		})
	}
	return bytes
}

// fetchFrom does what fetchListing does, without a connection.
func (n *testNode) fetchFrom(to *testNode) {
	if listing, ok := to.options.Replicas.ListingFor(n.zoneToRequest(n.now)); ok {
		n.applyListing(listing, n.now)
	}
}

// TestStartingFleetAgreesOnHubs guards against nodes of a large fleet that know only a part of
// it and therefore compute different numbers of hubs.
func TestStartingFleetAgreesOnHubs(t *testing.T) {
	const size = 400
	nodes := startingFleet(size)
	rounds(t, nodes, 20)
	want := nodes[0].hubs(nodes[0].now)
	disagree := 0
	for _, n := range nodes {
		if own := hubFor(n.options.Self(), n.hubs(n.now)); own.Name != hubFor(n.options.Self(), want).Name {
			disagree++
		}
	}
	if zoneHubs := (size/5 + nodesPerHub - 1) / nodesPerHub; len(want) != 5*zoneHubs || disagree > size/50 {
		t.Errorf("%d hubs, want %d; %d of %d nodes have another hub than the first node computes", len(want), 5*zoneHubs, disagree, size)
	}
}

// TestOnlyHubsKeepWholeListing guards against members whose memory and traffic grow with the
// number of replicas.
func TestOnlyHubsKeepWholeListing(t *testing.T) {
	listing := replica.Listing{Revision: 5}
	for i := range 3000 {
		listing.Replicas = append(listing.Replicas, replica.Replica{ID: fmt.Sprintf("r-%d", i), Upstream: "u", Address: "x:1", AvailabilityZone: fmt.Sprintf("z%d", i%5)})
	}
	nodes := startingFleet(100)
	rounds(t, nodes, 12)
	reader := findNode(nodes, nodes[0].hubs(nodes[0].now)[0].Name)
	reader.options.Replicas.Update(listing, reader.now, reader.now)
	rounds(t, nodes, 6)
	want := 5 * replica.MinPartSize
	for _, n := range nodes {
		got, _ := n.options.Replicas.Latest()
		switch role := n.Role(); {
		case role.IsHub() && len(got.Replicas) != len(listing.Replicas):
			t.Errorf("hub %s has %d replicas", n.options.Self().Name, len(got.Replicas))
		case role == Member && len(got.Replicas) != want:
			t.Errorf("member %s has %d replicas, want %d", n.options.Self().Name, len(got.Replicas), want)
		}
		if used := len(n.options.Replicas.ForUpstream("u")); used != want {
			t.Errorf("%s uses %d replicas, want %d", n.options.Self().Name, used, want)
		}
	}
	listing.Revision, listing.Replicas = 6, append([]replica.Replica(nil), listing.Replicas...)
	member := findMember(nodes)
	leaving := member.options.Replicas.ForUpstream("u")[0].ID
	for i := range listing.Replicas {
		listing.Replicas[i].Draining = listing.Replicas[i].ID == leaving
	}
	reader.options.Replicas.Update(listing, reader.now, reader.now)
	// Hubs have the change after a round, idle members call in every fourth one.
	rounds(t, nodes, 8)
	for _, n := range nodes {
		if n.options.Replicas.Usable(leaving) {
			t.Errorf("%s would still send requests to the draining replica", n.options.Self().Name)
		}
	}
}

func findMember(nodes []*testNode) *testNode {
	for _, n := range nodes {
		if n.Role() == Member {
			return n
		}
	}
	return nil
}

// TestCallsBetweenHubsGrowWithFleet guards against calls between hubs, and between availability
// zones, that grow with the square of the fleet.
func TestCallsBetweenHubsGrowWithFleet(t *testing.T) {
	callsOf := func(zones, hubsPerZone int) (calls, crossZone int) {
		var hubs []Node
		for z := range zones {
			for h := range hubsPerZone {
				hubs = append(hubs, Node{Name: fmt.Sprintf("vm-%d-%d", z, h), AvailabilityZone: fmt.Sprintf("z%02d", z)})
			}
		}
		for _, hub := range hubs {
			for _, to := range hubsToCall(hub, hubs) {
				calls++
				if to.AvailabilityZone != hub.AvailabilityZone {
					crossZone++
				}
			}
		}
		return calls, crossZone
	}
	if calls, crossZone := callsOf(5, 3); calls != 15*14 || crossZone != 15*12 {
		t.Errorf("15 hubs make %d calls, %d of them to other zones; want each to call all others", calls, crossZone)
	}
	if calls, crossZone := callsOf(5, 7); calls != 5*7*6+5*4 || crossZone != 5*4 {
		t.Errorf("35 hubs make %d calls, %d of them to other zones", calls, crossZone)
	}
	if _, crossZone := callsOf(5, 14); crossZone != 5*4 {
		t.Errorf("with twice the hubs a zone, %d calls go to other zones", crossZone)
	}
}

// TestLoadReachesAllNodesThroughPrimaryHubs covers a fleet whose hubs do not all call each other.
func TestLoadReachesAllNodesThroughPrimaryHubs(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		nodes := fleetOf(600, 5)
		if hubs := nodes[0].hubs(nodes[0].now); !callsThroughPrimary(hubs) {
			t.Fatalf("only %d hubs", len(hubs))
		}
		for range 5 {
			round(t, nodes)
		}
		for _, n := range nodes {
			if got := n.options.Placer.PeersRunning(time.Now())["i"]; got != 599 {
				t.Errorf("%s counts %d running requests of the other nodes, want 599", n.options.Self().Name, got)
			}
		}
	})
}

// TestNodesCallFewOthers guards against connections to a large part of the fleet, which would be
// opened by calling another random node each time.
func TestNodesCallFewOthers(t *testing.T) {
	nodes := fleetOf(240, 3)
	hub := nodes[0].hubOf("z0", nodes[0].now)
	member := memberOf(nodes, hub.Name)
	called := make(map[string]bool)
	for range 20 * ticksPerSecond {
		for _, target := range member.targets() {
			called[target.address] = true
		}
		member.now += second / ticksPerSecond
		member.markSeen(nodes)
	}
	// In twenty seconds the partners of the two kinds change four times.
	if most := 1 + 2*4; len(called) > most {
		t.Errorf("%d nodes were called in twenty seconds, want at most %d", len(called), most)
	}
}

// TestStopIsAnnouncedToFewNodes guards against a stopping node that opens a connection to each node
// of a large fleet.
func TestStopIsAnnouncedToFewNodes(t *testing.T) {
	nodes := fleetOf(240, 3)
	member := memberOf(nodes, nodes[0].hubOf("z0", nodes[0].now).Name)
	if told := member.announceTargets(); len(told) > maxAnnounceCalls || len(told) < len(member.hubs(member.now)) {
		t.Errorf("%d nodes are told of a stop", len(told))
	}
	small := largeFleet(30)
	if told := small[0].announceTargets(); len(told) != 29 {
		t.Errorf("%d nodes of a small fleet are told, want all 29", len(told))
	}
}

// TestCallsToSeedsWait guards against a start at which all nodes call the seeds, give up before
// the seeds get to their calls, and call again.
func TestCallsToSeedsWait(t *testing.T) {
	n := newTestNode("a", 100*second)
	n.options.Nodes.SetSeeds([]string{"seed:1"})
	n.options.Nodes.Merge(Node{Name: "b", PeerAddress: "b:1", LastSeen: n.now})
	timeouts := make(map[string]time.Duration)
	for _, target := range n.targets() {
		timeouts[target.address] = target.timeout()
	}
	if timeouts["seed:1"] != joinTimeout || timeouts["b:1"] != callTimeout {
		t.Errorf("time limits of calls: %v", timeouts)
	}
}

// TestCutOffNodeKeepsItsPart guards against nodes of a large fleet that are cut off together and all
// begin to keep the whole listing.
func TestCutOffNodeKeepsItsPart(t *testing.T) {
	nodes := startingFleet(60)
	rounds(t, nodes, 20)
	member := findMember(nodes)
	zone := member.options.Self().AvailabilityZone
	for range 5 * ticksPerSecond {
		member.now += second / ticksPerSecond
		if got := member.listingZone(member.now); got != zone {
			t.Fatalf("role %s: the node keeps the listing of zone %q", member.Role(), got)
		}
	}
	if role := member.Role(); role != Peer {
		t.Errorf("role %s, want that of a node without hubs", role)
	}
}

// TestHubsOfWholeListingsTellAllLoads guards against leaving loads out between availability zones where
// nodes use all replicas, as in a fleet with duties.
func TestHubsOfWholeListingsTellAllLoads(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		nodes := largeFleet(30)
		hub, other := findNode(nodes, nodes[0].hubOf("z0", 100*second).Name), findNode(nodes, nodes[0].hubOf("z1", 100*second).Name)
		hub.options.Replicas.Update(listingOf(5, 1000), hub.now, hub.now)
		for range 300 {
			hub.options.Placer.Choose(time.Now(), "u", &placement.Request{})
		}
		response, err := hub.Exchange(t.Context(), connect.NewRequest(other.request(target{name: hub.options.Self().Name}, other.now)))
		if err != nil {
			t.Fatal(err)
		}
		if got, want := len(response.Msg.GetGroupLoads()), len(hub.options.Placer.GroupLoads(time.Now())); got != want || want <= replica.MinPartSize {
			t.Errorf("loads of %d replicas are told, want %d", got, want)
		}
	})
}
