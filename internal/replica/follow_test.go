package replica

import (
	"math/rand/v2"
	"strconv"
	"testing"
)

// TestFollowMatchesNewListing applies random changes and compares with a listing read anew.
func TestFollowMatchesNewListing(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	current := make(map[string]Replica)
	list := func(revision int64) Listing {
		l := Listing{Revision: revision}
		for _, r := range current {
			l.Replicas = append(l.Replicas, r)
		}
		return l.Ordered()
	}
	followed := list(0)
	for revision := int64(1); revision < 200; revision++ {
		var changes []StoreChange
		for range random.IntN(5) {
			r := Replica{ID: strconv.Itoa(random.IntN(10)), Upstream: "u", Slots: random.IntN(2)}
			if random.IntN(3) == 0 {
				delete(current, r.ID)
				changes = append(changes, StoreChange{Replica: Replica{ID: r.ID}, Removed: true})
				continue
			}
			current[r.ID] = r
			changes = append(changes, StoreChange{Replica: r})
		}
		followed = followed.Follow(StoreChanges{Revision: revision, List: changes})
		if want := list(revision); followed.Digest != want.Digest || followed.Revision != revision {
			t.Fatalf("revision %d: followed listing has revision %d and digest %x, want %x", revision, followed.Revision, followed.Digest, want.Digest)
		}
	}
}

func TestHeartbeatsDoNotChangeListing(t *testing.T) {
	l := zonedListing(1, 3, "a").Ordered()
	next := l.Follow(StoreChanges{Revision: 9, List: []StoreChange{{Replica: l.Replicas[1]}, {Replica: l.Replicas[0]}}})
	if next.Revision != 9 || &next.Replicas[0] != &l.Replicas[0] {
		t.Errorf("revision %d; the replicas must stay the same slice", next.Revision)
	}
}
