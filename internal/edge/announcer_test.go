package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/duty/dutytest"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/routesource"
)

// runAnnouncer runs an announcer for the span; others is the number of nodes it knows. It
// returns the store and the number of calls to it.
func runAnnouncer(t *testing.T, role nodesync.Role, isSeed bool, others int, span time.Duration) (*fakeStore, int) {
	return runAnnouncerWithRoles(t, func(time.Duration) nodesync.Role { return role }, isSeed, others, span)
}

// runAnnouncerWithRoles is runAnnouncer for a node whose role depends on the time since its start.
func runAnnouncerWithRoles(t *testing.T, role func(time.Duration) nodesync.Role, isSeed bool, others int, span time.Duration) (*fakeStore, int) {
	store := &fakeStore{nodes: make(map[string]nodesync.Node), kv: dutytest.NewStore(1)}
	bubbletest.Run(t, func(t *testing.T) {
		began := time.Now()
		clock := func() boottime.Instant { return boottime.Instant(time.Since(began)) + 1 }
		nodes := nodesync.NewNodes("self", nil)
		a := &announcer{
			store: nodeStore{store, "self"}, self: func() nodesync.Node { return nodesync.Node{Name: "self"} },
			role: func() nodesync.Role { return role(time.Since(began)) }, isSeed: isSeed, nodes: nodes, fleetSize: func() int { return others + 1 },
			clock: clock, log: eventlog.New(io.Discard, "self"), rand: rand.New(rand.NewPCG(1, 1)),
		}
		a.metrics = newMetrics(prometheus.NewRegistry(), routesource.New(nil), replica.NewSet(), clock, a.log)
		for i := range others {
			nodes.Merge(nodesync.Node{Name: fmt.Sprintf("vm-%d", i), LastSeen: clock().Add(span)})
		}
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		a.run(ctx)
	})
	return store, store.calls
}

// TestOnlySeedsHubsAndSmallFleetsAreAnnounced guards against overloading the store when
// hundreds of nodes start at once.
func TestOnlySeedsHubsAndSmallFleetsAreAnnounced(t *testing.T) {
	cases := []struct {
		name      string
		role      nodesync.Role
		seed      bool
		others    int
		announced bool
		maxCalls  int
	}{
		{"a member of a large fleet", nodesync.Member, false, 294, false, 2},
		{"a member that is a seed", nodesync.Member, true, 294, true, 5},
		{"a hub", nodesync.PrimaryHub, false, 294, true, 12},
		{"a further hub of a zone", nodesync.SecondaryHub, false, 294, true, 11},
		{"a node of a small fleet", nodesync.Peer, false, 6, true, 12},
		{"a node without peers", nodesync.Peer, false, 0, true, 130},
		{"a node cut off from a large fleet", nodesync.Member, false, 0, false, 25},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			store, calls := runAnnouncer(t, test.role, test.seed, test.others, time.Minute)
			if _, announced := store.nodes["self"]; announced != test.announced {
				t.Errorf("node announced: %t, want the opposite", announced)
			}
			if calls > test.maxCalls {
				t.Errorf("%d calls in a minute, want %d at most", calls, test.maxCalls)
			}
		})
	}
}

// TestNodeWithoutPeersIsAnnounced guards against a fleet that cannot form without seeds.
func TestNodeWithoutPeersIsAnnounced(t *testing.T) {
	store, _ := runAnnouncer(t, nodesync.Peer, false, 0, settlePeriod+time.Second)
	if len(store.nodes) != 1 {
		t.Error("a node without peers is not announced")
	}
}

// TestMembersListingsDoNotGrowWithFleet guards against members of a large fleet that all list the announced
// nodes once a minute.
func TestMembersListingsDoNotGrowWithFleet(t *testing.T) {
	const span = 10 * time.Minute
	perSecond := func(nodes int) float64 {
		_, calls := runAnnouncer(t, nodesync.Member, false, nodes-1, span)
		return float64(calls*nodes) / span.Seconds()
	}
	if small, large := perSecond(100), perSecond(2000); large > 1.2*small || small == 0 {
		t.Errorf("%.1f calls a second of 2,000 members, %.1f of 100", large, small)
	}
}

// Members of a starting fleet that were without a hub for a moment announced themselves, with two writes
// each.
func TestMemberThatIsBrieflyWithoutHubIsNotAnnounced(t *testing.T) {
	role := func(age time.Duration) nodesync.Role {
		if age%(2*time.Second) < time.Second {
			return nodesync.Peer
		}
		return nodesync.Member
	}
	store, _ := runAnnouncerWithRoles(t, role, false, 294, 20*time.Second)
	if len(store.nodes) != 0 {
		t.Error("the node is announced")
	}
}
