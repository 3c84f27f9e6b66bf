package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Applies random changes to a set and checks that every earlier listing plus its delta has the
// newest digest.
func TestDeltaFromEachListingYieldsNewest(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		source := NewSet()
		var seen []Listing
		current := map[string]Replica{}
		for step := range 20 {
			id := fmt.Sprintf("r%d", random.IntN(6))
			if r, had := current[id]; had && random.IntN(2) == 0 {
				delete(current, id)
			} else {
				r.ID, r.Upstream, r.Draining, r.Slots = id, "u", !r.Draining, step
				current[id] = r
			}
			l := Listing{Revision: int64(step + 1)}
			for _, r := range current {
				l.Replicas = append(l.Replicas, r)
			}
			source.Update(l, at(step*100), at(step*100))
			newest, _ := source.Latest()
			seen = append(seen, newest)
			for back, old := range seen[:step] {
				if old.Digest == newest.Digest || len(old.Replicas) == 0 {
					continue
				}
				delta, found := source.DeltaFor("", old.Digest)
				if !found {
					t.Fatalf("seed %d, step %d: no delta from listing %d", seed, step, back)
				}
				if got := Digest(delta.Apply(old.Replicas)); got != newest.Digest {
					t.Fatalf("seed %d, step %d: listing %d with delta %+v has digest %x, want %x", seed, step, back, delta, got, newest.Digest)
				}
			}
		}
	}
}

func TestUnknownDigestHasNoDelta(t *testing.T) {
	s := NewSet()
	s.Update(listing(1, "a"), at(0), at(0))
	s.Update(listing(2, "a", "b"), at(100), at(100))
	if delta, found := s.DeltaFor("", 12345); found {
		t.Errorf("got delta %+v for a digest that the set never had", delta)
	}
	for i := range 2 * maxDeltas {
		s.Update(listing(int64(3+i), "a", fmt.Sprint(i)), at(200+i), at(200+i))
	}
	if len(s.deltas) > maxDeltas {
		t.Errorf("%d deltas stored, want at most maxDeltas", len(s.deltas))
	}
}

// Every exchange with another node confirms the current listing, so that path must not
// allocate.
func TestUpdateWithSameListingDoesNotAllocate(t *testing.T) {
	s := NewSet()
	s.Update(listing(1, "a", "b", "c"), at(0), at(0))
	same, _ := s.Latest()
	revision := same.Revision
	allocations := testing.AllocsPerRun(100, func() {
		revision++
		s.Update(Listing{Revision: revision, Replicas: same.Replicas, Digest: same.Digest}, at(int(revision)*100), at(int(revision)*100))
	})
	if allocations != 0 {
		t.Errorf("%v allocations for a listing of the same replicas, want 0", allocations)
	}
	if newest, readAt := s.Latest(); newest.Revision != revision || readAt != at(int(revision)*100) {
		t.Errorf("latest listing has revision %d and was read at %v, want those of the last update", newest.Revision, readAt)
	}
}
