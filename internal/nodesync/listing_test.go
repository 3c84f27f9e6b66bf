package nodesync

import (
	"fmt"
	"testing"

	"galenatrestle/internal/replica"
)

// listingOf is replicas r0 to r(n-1), of which the named ones drain.
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

// hasListing checks that a node's listing is that of the other.
func hasListing(t *testing.T, a, b *testNode) {
	t.Helper()
	got, _ := a.options.Replicas.Latest()
	want, _ := b.options.Replicas.Latest()
	if got.Revision != want.Revision || got.Digest != want.Digest || replica.Digest(got.Replicas) != want.Digest {
		t.Errorf("listing of revision %d with %d replicas, want that of revision %d with %d", got.Revision, len(got.Replicas), want.Revision, len(want.Replicas))
	}
}

// TestOnlyChangesOfAListingAreTold: each replica that leaves a large fleet would
// else have every node sent the whole listing, several times over.
func TestOnlyChangesOfAListingAreTold(t *testing.T) {
	a, b := newTestNode("a", 100*second), newTestNode("b", 100*second)
	b.options.Replicas.Update(listingOf(5, 200), b.now, b.now)
	a.asks(t, b, 0, 0)
	hasListing(t, a, b)
	b.options.Replicas.Update(listingOf(6, 199, 7), b.now, b.now)
	b.options.Replicas.Update(listingOf(7, 199, 7, 9), b.now, b.now)
	answer := b.response(a.request(target{name: "b"}, a.now))
	if len(answer.GetReplicas()) != 2 || len(answer.GetRemovedReplicas()) != 1 {
		t.Errorf("%d replicas and %d removed were told, want 2 and 1", len(answer.GetReplicas()), len(answer.GetRemovedReplicas()))
	}
	a.asks(t, b, 0, 0)
	hasListing(t, a, b)
}

// TestAWholeListingIsToldWhereChangesAreOfNoUse: to a node that does not know
// changes, and to one whose listing the other one never had.
func TestAWholeListingIsToldWhereChangesAreOfNoUse(t *testing.T) {
	a, b := newTestNode("a", 100*second), newTestNode("b", 100*second)
	b.options.Replicas.Update(listingOf(5, 20), b.now, b.now)
	a.asks(t, b, 0, 0)
	b.options.Replicas.Update(listingOf(6, 20, 3), b.now, b.now)
	older := a.request(target{name: "b"}, a.now)
	older.TakesChanges = false
	if answer := b.response(older); len(answer.GetReplicas()) != 20 || answer.GetReplicasFrom() != 0 {
		t.Errorf("a node that does not know changes is told %d replicas from %x", len(answer.GetReplicas()), answer.GetReplicasFrom())
	}
	a.options.Replicas.Update(listingOf(5, 20, 1, 2), a.now, a.now)
	a.asks(t, b, 0, 0)
	hasListing(t, a, b)
}

// TestChangesThatDoNotFitAreDropped has a node told changes that do not lead to the
// listing they should: it keeps its own and asks for the whole one.
func TestChangesThatDoNotFitAreDropped(t *testing.T) {
	a, b := newTestNode("a", 100*second), newTestNode("b", 100*second)
	b.options.Replicas.Update(listingOf(5, 20), b.now, b.now)
	a.asks(t, b, 0, 0)
	b.options.Replicas.Update(listingOf(6, 20, 3, 4), b.now, b.now)
	request := a.request(target{name: "b"}, a.now)
	answer := b.response(request)
	answer.Replicas = answer.Replicas[1:]
	a.take(answer, request, a.now)
	if got, _ := a.options.Replicas.Latest(); got.Revision != 5 {
		t.Errorf("a listing of revision %d is in force", got.Revision)
	}
	a.asks(t, b, 0, 0)
	hasListing(t, a, b)
}
