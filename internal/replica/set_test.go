package replica

import (
	"slices"
	"testing"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/platform"
)

func at(ms int) boottime.Instant { return boottime.Instant(time.Duration(ms) * time.Millisecond) }

func listing(revision int64, ids ...string) Listing {
	l := Listing{Revision: revision}
	for _, id := range ids {
		l.Replicas = append(l.Replicas, Replica{ID: id, Upstream: "u", Address: id})
	}
	return l
}

func ids(s *Set) []string {
	var list []string
	for _, r := range s.ForUpstream("u") {
		list = append(list, r.ID)
	}
	return list
}

func TestMissingReplicaIsRemovedImmediately(t *testing.T) {
	s := NewSet()
	s.Update(listing(1, "a", "b"), at(1000), at(1010))
	changes := s.Update(listing(2, "a"), at(1600), at(1610))
	if !slices.Equal(ids(s), []string{"a"}) || s.Usable("b") {
		t.Errorf("replicas %v, want only a, with b not usable", ids(s))
	}
	if len(changes) != 1 || changes[0].Kind != Removed || changes[0].Replica.ID != "b" {
		t.Errorf("changes %v, want the removal of b", changes)
	}
}

func TestReplicasMissingAfterOutageAreKeptForGracePeriod(t *testing.T) {
	s := NewSet()
	s.Update(listing(1, "a", "b", "c"), at(1000), at(1010))
	s.Update(listing(2, "a"), at(7000), at(7010))
	if !slices.Equal(ids(s), []string{"a", "b", "c"}) {
		t.Errorf("right after the outage: replicas %v, want a, b and c", ids(s))
	}
	s.Update(listing(3, "a", "b"), at(8000), at(8010))
	s.Update(listing(4, "a", "b"), at(9020), at(9030))
	if !slices.Equal(ids(s), []string{"a", "b"}) {
		t.Errorf("two seconds after the outage: replicas %v, want a and b", ids(s))
	}
}

func TestOlderListingIsIgnored(t *testing.T) {
	s := NewSet()
	s.Update(listing(5, "a", "b"), at(1000), at(1010))
	if changes := s.Update(listing(4, "a"), at(1100), at(1110)); changes != nil || len(ids(s)) != 2 {
		t.Errorf("older listing: changes %v, replicas %v, want no changes and both replicas", changes, ids(s))
	}
}

// TestRestoredStoreDoesNotUndoDraining guards against new requests to a process that is leaving, and
// against dropping one that has registered since, after the store came back from an older copy.
func TestRestoredStoreDoesNotUndoDraining(t *testing.T) {
	s := NewSet()
	before := listing(int64(platform.NewPosition(1, 90)), "a", "b")
	before.Replicas[0].Draining = true
	s.Update(before, at(1000), at(1010))
	s.Update(listing(int64(platform.NewPosition(2, 80)), "a"), at(1500), at(1510))
	if s.Usable("a") || !s.Usable("b") {
		t.Errorf("usable after the restore: a %v, b %v; want b only", s.Usable("a"), s.Usable("b"))
	}
	s.Update(listing(int64(platform.NewPosition(2, 90)), "a"), at(2500), at(2510))
	s.Update(listing(int64(platform.NewPosition(2, 95)), "a"), at(3600), at(3610))
	if s.Usable("b") {
		t.Error("b is usable although it did not register again")
	}
}

func TestDrainingReplicaIsNotUsable(t *testing.T) {
	s := NewSet()
	s.Update(listing(1, "a"), at(1000), at(1010))
	draining := listing(2, "a")
	draining.Replicas[0].Draining = true
	changes := s.Update(draining, at(1500), at(1510))
	if s.Usable("a") || len(ids(s)) != 1 || len(changes) != 1 || changes[0].Kind != StartedDraining {
		t.Errorf("usable %v, replicas %v, changes %v; want a listed, not usable and changed to draining", s.Usable("a"), ids(s), changes)
	}
}

// A node that had listed the registrations took the copies of nodes that follow the changes for older
// ones, and listed them again and again.
func TestOlderRevisionConfirmsTheSameReplicas(t *testing.T) {
	s := NewSet()
	s.Update(listing(20, "a", "b").Ordered(), at(1000), at(1010))
	s.Update(listing(10, "a", "b").Ordered(), at(1500), at(1510))
	got, readAt := s.Latest()
	if readAt != at(1500) || got.Revision != 20 {
		t.Errorf("listing of revision %d read at %d, want 20 at %d", got.Revision, readAt, at(1500))
	}
	s.Update(listing(10, "a").Ordered(), at(2000), at(2010))
	if _, readAt := s.Latest(); readAt != at(1500) || !slices.Equal(ids(s), []string{"a", "b"}) {
		t.Errorf("an older listing that differs was taken: read at %d, replicas %v", readAt, ids(s))
	}
}

func TestCopyOfEarlierEraConfirmsNothing(t *testing.T) {
	s := NewSet()
	current := listing(int64(platform.NewPosition(2, 5)), "a").Ordered()
	s.Update(current, at(1000), at(1010))
	current.Revision = int64(platform.NewPosition(1, 900))
	s.Update(current, at(1500), at(1510))
	if _, readAt := s.Latest(); readAt != at(1000) {
		t.Errorf("listing read at %d, want %d", readAt, at(1000))
	}
}

// TestListingDoesNotUndoWhatTheProcessSaid guards against requests to a process that said that it
// leaves, after a listing, a removal or an outage in which its registration does not say so.
func TestListingDoesNotUndoWhatTheProcessSaid(t *testing.T) {
	s := NewSet()
	s.Update(listing(1, "a", "b"), at(1000), at(1010))
	if !s.MarkLeaving(&Replica{ID: "a"}) || s.MarkLeaving(&Replica{ID: "a"}) {
		t.Error("MarkLeaving is not new once")
	}
	expectLeaving := func(when string) {
		t.Helper()
		if s.Usable("a") || !s.Usable("b") {
			t.Errorf("%s: usable: a %v, b %v; want b only", when, s.Usable("a"), s.Usable("b"))
		}
		for _, r := range s.ForUpstream("u") {
			if r.Draining != (r.ID == "a") {
				t.Errorf("%s: replica %s draining %v", when, r.ID, r.Draining)
			}
		}
	}
	expectLeaving("at once")
	s.Update(listing(2, "a", "b", "c"), at(1500), at(1510))
	expectLeaving("listed as ready")
	s.Update(listing(3, "b"), at(2000), at(2010))
	s.Update(listing(4, "a", "b"), at(2500), at(2510))
	expectLeaving("expired and listed again")
	s.Update(listing(5, "b"), at(9000), at(9010))
	expectLeaving("kept after an outage")
	restarted := listing(6, "a", "b")
	restarted.Replicas[0].StartedAt = 7
	s.Update(restarted, at(12000), at(12010))
	if !s.Usable("a") {
		t.Error("the next process of the replica is not usable")
	}
}

func TestLeavingProcessesAreBounded(t *testing.T) {
	s := NewSet()
	s.Update(listing(1, "a"), at(1000), at(1010))
	s.MarkLeaving(&Replica{ID: "a"})
	for i := range int64(10 * minLeavingProcesses) {
		s.MarkLeaving(&Replica{ID: "gone", StartedAt: i})
	}
	if len(s.leaving) > 2+minLeavingProcesses || s.Usable("a") {
		t.Errorf("%d leaving processes kept, a usable: %v", len(s.leaving), s.Usable("a"))
	}
}
