package nodesync

import (
	"fmt"
	"testing"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

// reportRate simulates a response of the replica that reports a rate limit, or that the
// limit no longer applies.
func (n *testNode) reportRate(id string, limited bool) {
	n.options.RateLimitTable.Observe(ratelimit.Observation{
		Replica: replica.Replica{ID: id}, Limited: limited, PerSecond: 2, Succeeded: true, SentAt: n.now, ReceivedAt: n.now + 1,
	})
}

// nodesWithLimit returns the number of limits in force, summed over the nodes; with one
// limited replica that is the number of nodes that have the limit.
func nodesWithLimit(nodes []*testNode) int {
	count := 0
	for _, n := range nodes {
		count += len(n.options.RateLimitTable.InForce())
	}
	return count
}

func TestRateLimitReachesAllNodesInThreeRounds(t *testing.T) {
	for _, count := range []int{7, 60, 360} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			nodes := largeFleet(count)
			nodes[count-1].reportRate("i", true)
			advanceClocks(nodes)
			for range 3 {
				round(t, nodes)
				advanceClocks(nodes)
			}
			if got := nodesWithLimit(nodes); got != count {
				t.Errorf("%d of %d nodes have the limit after three rounds", got, count)
			}
			nodes[0].reportRate("i", false)
			for range 3 {
				round(t, nodes)
				advanceClocks(nodes)
			}
			if got := nodesWithLimit(nodes); got != 0 {
				t.Errorf("%d nodes still have a removed limit", got)
			}
		})
	}
}

// advanceClocks advances the clocks of all nodes by one round.
func advanceClocks(nodes []*testNode) {
	for _, n := range nodes {
		n.now += boottime.Instant(roundInterval)
	}
}

func TestRateLimitOfUnknownReplicaIsIgnored(t *testing.T) {
	nodes := largeFleet(2)
	nodes[1].reportRate("gone", true)
	nodes[0].exchangeWith(t, nodes[1], 0, 0)
	if limits := nodes[0].options.RateLimitTable.InForce(); len(limits) != 0 {
		t.Errorf("limits %v, want none", limits)
	}
}

func TestAllNodesAgreeOnPermitIssuer(t *testing.T) {
	for _, count := range []int{1, 7, 60, 360} {
		issuers := make(map[string]bool)
		nodes := largeFleet(count)
		for i := range 50 {
			id := fmt.Sprintf("i-%d", i)
			want := nodes[0].PermitIssuer(id)
			issuers[want.Name] = true
			for _, n := range nodes {
				if got := n.PermitIssuer(id); got.Name != want.Name || got.PeerAddress != want.PeerAddress {
					t.Fatalf("%d nodes: issuers %s and %s for replica %s", count, got.Name, want.Name, id)
				}
			}
		}
		if len(issuers) < min(count, 3) {
			t.Errorf("%d nodes: %d issuers", count, len(issuers))
		}
	}
}

func TestLeavingNodeIssuesNoPermits(t *testing.T) {
	nodes := largeFleet(3)
	leaving := nodes[0].PermitIssuer("i")
	for _, n := range nodes {
		originalSelf := n.options.Self
		if originalSelf().Name == leaving.Name {
			n.options.Self = func() Node {
				self := originalSelf()
				self.Leaving = true
				return self
			}
			continue
		}
		state := leaving
		state.Leaving, state.LastSeen = true, n.now+1
		n.options.Nodes.Merge(state)
	}
	for _, n := range nodes {
		if got := n.PermitIssuer("i"); got.Name == leaving.Name {
			t.Errorf("%s chooses the leaving node as issuer", n.options.Self().Name)
		}
	}
}

// TestSeenFractionDuringPartition guards against counting the nodes of the other partition
// as seen.
func TestSeenFractionDuringPartition(t *testing.T) {
	nodes := largeFleet(8)
	if got := nodes[0].SeenFraction(); got != 1 {
		t.Errorf("fraction %g with all nodes seen", got)
	}
	for range 20 {
		advanceClocks(nodes)
		for _, half := range [][]*testNode{nodes[:4], nodes[4:]} {
			for _, a := range half {
				for _, b := range half {
					if a != b {
						a.exchangeWith(t, b, 0, 0)
					}
				}
			}
		}
	}
	for _, n := range nodes {
		if got := n.SeenFraction(); got != 0.5 {
			t.Errorf("%s: fraction %g with half of the nodes seen", n.options.Self().Name, got)
		}
	}
}

// Each exchange carried all limits both ways: with many limited replicas that was most of what nodes send.
func TestLimitsAreSentOnceASecondUnlessTheyChange(t *testing.T) {
	nodes := largeFleet(2)
	now := nodes[0].now
	nodes[0].reportRate("i", true)
	sent := func() int { return len(nodes[0].limitsFor("vm-9", now)) }
	if got := sent(); got != 1 {
		t.Errorf("%d limits were sent first, want 1", got)
	}
	if got := sent(); got != 0 {
		t.Errorf("%d limits were sent again at once", got)
	}
	now += 10
	nodes[0].now += 10
	nodes[0].reportRate("i", false)
	if got := sent(); got != 1 {
		t.Errorf("%d limits were sent after a change, want 1", got)
	}
	now += boottime.Instant(limitsInterval)
	if got := sent(); got != 1 {
		t.Errorf("%d limits were sent after %s, want 1", got, limitsInterval)
	}
	nodes[0].limitCursors.reset("vm-9")
	if got := sent(); got != 1 {
		t.Errorf("%d limits were sent after a failed call, want 1", got)
	}
	if got := len(nodes[0].limitsFor("", now)); got != 1 {
		t.Errorf("%d limits were sent to a node whose name is not known, want 1", got)
	}
}
