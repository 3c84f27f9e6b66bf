package nodesync

import (
	"fmt"
	"testing"

	"galenatrestle/internal/replica"
)

// listingOf returns a listing of the replicas r0 to r(n-1); the given ones are
// draining.
func listingOf(revision int64, n int, draining ...int) replica.Listing {
	l := replica.Listing{Revision: revision}
	for i := range n {
		l.Replicas = append(l.Replicas, replica.Replica{ID: fmt.Sprintf("r%d", i), Upstream: "u", Address: fmt.Sprintf("x:%d", i)})
	}
	for _, i := range draining {
		l.Replicas[i].Draining = true
	}
	return l
}

// checkListing checks that node a has the listing of node b.
func checkListing(t *testing.T, a, b *testNode) {
	t.Helper()
	got, _ := a.options.Replicas.Latest()
	want, _ := b.options.Replicas.Latest()
	if got.Revision != want.Revision || got.Digest != want.Digest || replica.Digest(got.Replicas) != want.Digest {
		t.Errorf("listing of revision %d with %d replicas, want that of revision %d with %d", got.Revision, len(got.Replicas), want.Revision, len(want.Replicas))
	}
}

// TestOnlyListingChangesAreSent guards against sending the full listing to every node
// for each replica that changes.
func TestOnlyListingChangesAreSent(t *testing.T) {
	a, b := newTestNode("a", 100*second), newTestNode("b", 100*second)
	b.options.Replicas.Update(listingOf(5, 200), b.now, b.now)
	a.exchangeWith(t, b, 0, 0)
	checkListing(t, a, b)
	b.options.Replicas.Update(listingOf(6, 199, 7), b.now, b.now)
	b.options.Replicas.Update(listingOf(7, 199, 7, 9), b.now, b.now)
	reply := b.response(a.request(target{name: "b"}, a.now))
	if len(reply.GetReplicas()) != 2 || len(reply.GetRemovedReplicas()) != 1 {
		t.Errorf("delta has %d changed and %d removed replicas, want 2 and 1", len(reply.GetReplicas()), len(reply.GetRemovedReplicas()))
	}
	a.exchangeWith(t, b, 0, 0)
	checkListing(t, a, b)
}

// TestFullListingIsSentWhenDeltaIsUnusable covers a caller that does not support
// deltas, and one whose listing the other node never had.
func TestFullListingIsSentWhenDeltaIsUnusable(t *testing.T) {
	a, b := newTestNode("a", 100*second), newTestNode("b", 100*second)
	b.options.Replicas.Update(listingOf(5, 20), b.now, b.now)
	a.exchangeWith(t, b, 0, 0)
	b.options.Replicas.Update(listingOf(6, 20, 3), b.now, b.now)
	older := a.request(target{name: "b"}, a.now)
	older.TakesChanges = false
	if reply := b.response(older); len(reply.GetReplicas()) != 20 || reply.GetReplicasFrom() != 0 {
		t.Errorf("caller without delta support got %d replicas from %x", len(reply.GetReplicas()), reply.GetReplicasFrom())
	}
	a.options.Replicas.Update(listingOf(5, 20, 1, 2), a.now, a.now)
	a.exchangeWith(t, b, 0, 0)
	checkListing(t, a, b)
}

// TestMismatchingDeltaIsDropped checks that the node then requests the full listing.
func TestMismatchingDeltaIsDropped(t *testing.T) {
	a, b := newTestNode("a", 100*second), newTestNode("b", 100*second)
	b.options.Replicas.Update(listingOf(5, 20), b.now, b.now)
	a.exchangeWith(t, b, 0, 0)
	b.options.Replicas.Update(listingOf(6, 20, 3, 4), b.now, b.now)
	request := a.request(target{name: "b"}, a.now)
	reply := b.response(request)
	reply.Replicas = reply.Replicas[1:]
	a.handleResponse(reply, request, a.now)
	if got, _ := a.options.Replicas.Latest(); got.Revision != 5 {
		t.Errorf("listing of revision %d is in use, want 5", got.Revision)
	}
	a.exchangeWith(t, b, 0, 0)
	checkListing(t, a, b)
}

// Members that had listed the registrations by themselves read them every few seconds, since the copies of
// hubs, which follow the changes, had older revisions.
func TestMemberWithNewerRevisionTakesCopyOfHub(t *testing.T) {
	member, hub := newTestNode("member", 100*second), newTestNode("hub", 100*second)
	replicas := []replica.Replica{{ID: "i", Upstream: "u", Address: "x:1"}}
	member.options.Replicas.Update(replica.Listing{Revision: 20, Replicas: replicas}.Ordered(), 90*second, 90*second)
	hub.options.Replicas.Update(replica.Listing{Revision: 10, Replicas: replicas}.Ordered(), 99*second, 99*second)
	member.exchangeWith(t, hub, 0, 0)
	if _, readAt := member.options.Replicas.Latest(); readAt != 99*second {
		t.Errorf("copy read at %d, want 99", readAt/second)
	}
}
