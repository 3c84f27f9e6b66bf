package nodesync

import (
	"fmt"
	"testing"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

// names has the node get an answer of the replica that names a rate, or none any more.
func (n *testNode) names(id string, limited bool) {
	n.options.RateLimits.Observe(ratelimit.Observation{
		Replica: replica.Replica{ID: id}, Limited: limited, PerSecond: 2, Succeeded: true, SentAt: n.now, ReceivedAt: n.now + 1,
	})
}

// knowing is the number of nodes that know a limit.
func knowing(nodes []*testNode) int {
	known := 0
	for _, n := range nodes {
		known += len(n.options.RateLimits.InForce())
	}
	return known
}

func TestARateThatAReplicaNamesIsKnownToAllNodesInAFewRounds(t *testing.T) {
	for _, count := range []int{7, 60, 360} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			nodes := largeFleet(count)
			nodes[count-1].names("i", true)
			tick(nodes)
			for range 3 {
				round(t, nodes)
				tick(nodes)
			}
			if got := knowing(nodes); got != count {
				t.Errorf("%d of %d nodes know the rate after three rounds", got, count)
			}
			nodes[0].names("i", false)
			for range 3 {
				round(t, nodes)
				tick(nodes)
			}
			if got := knowing(nodes); got != 0 {
				t.Errorf("%d nodes keep to a rate that was lifted", got)
			}
		})
	}
}

// tick lets the time of all nodes go on by a round.
func tick(nodes []*testNode) {
	for _, n := range nodes {
		n.now += boottime.Instant(roundEvery)
	}
}

func TestARateOfAReplicaThatIsNotRegisteredIsNotTaken(t *testing.T) {
	nodes := largeFleet(2)
	nodes[1].names("gone", true)
	nodes[0].asks(t, nodes[1], 0, 0)
	if limits := nodes[0].options.RateLimits.InForce(); len(limits) != 0 {
		t.Errorf("limits %v", limits)
	}
}

func TestAllNodesNameTheSameIssuer(t *testing.T) {
	for _, count := range []int{1, 7, 60, 360} {
		issuers := make(map[string]bool)
		nodes := largeFleet(count)
		for i := range 50 {
			id := fmt.Sprintf("i-%d", i)
			want := nodes[0].PermitIssuer(id)
			issuers[want.Name] = true
			for _, n := range nodes {
				if got := n.PermitIssuer(id); got.Name != want.Name || got.PeerAddress != want.PeerAddress {
					t.Fatalf("%d nodes: %s and %s issue the permits of %s", count, got.Name, want.Name, id)
				}
			}
		}
		if len(issuers) < min(count, 3) {
			t.Errorf("%d nodes: %d issue permits", count, len(issuers))
		}
	}
}

func TestALeavingNodeIssuesNoPermits(t *testing.T) {
	nodes := largeFleet(3)
	leaving := nodes[0].PermitIssuer("i")
	for _, n := range nodes {
		plain := n.options.Self
		if plain().Name == leaving.Name {
			n.options.Self = func() Node {
				self := plain()
				self.Leaving = true
				return self
			}
			continue
		}
		told := leaving
		told.Leaving, told.LastSeen = true, n.now+1
		n.options.Nodes.Merge(told)
	}
	for _, n := range nodes {
		if got := n.PermitIssuer("i"); got.Name == leaving.Name {
			t.Errorf("%s takes the leaving node for the issuer", n.options.Self().Name)
		}
	}
}

// Two parts of a fleet that can't hear each other have an issuer each.
func TestAnIssuerUsesThePartOfTheNodesThatItHears(t *testing.T) {
	nodes := largeFleet(8)
	if got := nodes[0].SeenFraction(); got != 1 {
		t.Errorf("share %g with all nodes heard", got)
	}
	for range 20 {
		tick(nodes)
		for _, half := range [][]*testNode{nodes[:4], nodes[4:]} {
			for _, a := range half {
				for _, b := range half {
					if a != b {
						a.asks(t, b, 0, 0)
					}
				}
			}
		}
	}
	for _, n := range nodes {
		if got := n.SeenFraction(); got != 0.5 {
			t.Errorf("%s: share %g with half of the nodes heard", n.options.Self().Name, got)
		}
	}
}
