package replica

import (
	"maps"
	"slices"
)

// maxDeltas bounds the listings whose difference from the newest is remembered:
// at ten changes a second those of some three seconds, in which each node is
// asked several times.
const maxDeltas = 32

// Delta is what turns one listing into another.
type Delta struct {
	// From is the digest of the listing to change.
	From uint64
	// Changed are the replicas that are new or registered otherwise.
	Changed []Replica
	// Removed are the identities of those that are listed no more.
	Removed []string
}

// deltaOf is what turns old into next.
func deltaOf(old, next Listing) Delta {
	delta := Delta{From: old.Digest}
	left := make(map[string]Replica, len(old.Replicas))
	for _, r := range old.Replicas {
		left[r.ID] = r
	}
	for _, r := range next.Replicas {
		if was, had := left[r.ID]; !had || was != r {
			delta.Changed = append(delta.Changed, r)
		}
		delete(left, r.ID)
	}
	delta.Removed = slices.Sorted(maps.Keys(left))
	return delta
}

// join is what both turn a listing into, one after the other.
func (d Delta) join(next Delta) Delta {
	changed := make(map[string]Replica, len(d.Changed)+len(next.Changed))
	removed := make(map[string]bool, len(d.Removed)+len(next.Removed))
	for _, part := range []Delta{d, next} {
		for _, r := range part.Changed {
			changed[r.ID] = r
			delete(removed, r.ID)
		}
		for _, id := range part.Removed {
			delete(changed, id)
			removed[id] = true
		}
	}
	joined := Delta{From: d.From, Removed: slices.Sorted(maps.Keys(removed))}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		joined.Changed = append(joined.Changed, changed[id])
	}
	return joined
}

// Apply is the listing's replicas with the delta's changes.
func (d Delta) Apply(list []Replica) []Replica {
	changed := make(map[string]bool, len(d.Changed))
	for _, r := range d.Changed {
		changed[r.ID] = true
	}
	next := slices.DeleteFunc(slices.Clone(list), func(r Replica) bool {
		return changed[r.ID] || slices.Contains(d.Removed, r.ID)
	})
	return append(next, d.Changed...)
}

// remember keeps what turns the listing in force into next.
func (s *Set) remember(next Listing) {
	s.deltas = append(s.deltas, deltaOf(s.listing, next))
	if over := len(s.deltas) - maxDeltas; over > 0 {
		s.deltas = slices.Delete(s.deltas, 0, over)
	}
}

// DeltaSince is what turns the listing of the digest into the newest, where that is
// remembered. Zero is the digest of no listing.
func (s *Set) DeltaSince(digest uint64) (Delta, bool) {
	if digest == 0 {
		return Delta{}, false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	first := -1
	for i, delta := range s.deltas {
		if delta.From == digest {
			first = i
		}
	}
	if first < 0 {
		return Delta{}, false
	}
	joined := s.deltas[first]
	for _, delta := range s.deltas[first+1:] {
		joined = joined.join(delta)
	}
	return joined, true
}
