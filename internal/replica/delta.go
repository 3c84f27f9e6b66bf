package replica

import (
	"maps"
	"slices"
)

// maxDeltas bounds the stored deltas: about three seconds at ten changes a second, in which
// other nodes fetch the listing several times.
const maxDeltas = 32

// Delta is the difference between two listings.
type Delta struct {
	// From is the digest of the listing to which the delta applies.
	From uint64
	// Changed are the replicas that are new or whose registration changed.
	Changed []Replica
	// Removed are the IDs of replicas that are no longer listed.
	Removed []string
}

func diffListings(old, next Listing) Delta {
	delta := Delta{From: old.Digest}
	remaining := make(map[string]Replica, len(old.Replicas))
	for _, r := range old.Replicas {
		remaining[r.ID] = r
	}
	for _, r := range next.Replicas {
		if previous, had := remaining[r.ID]; !had || previous != r {
			delta.Changed = append(delta.Changed, r)
		}
		delete(remaining, r.ID)
	}
	delta.Removed = slices.Sorted(maps.Keys(remaining))
	return delta
}

// compose returns the delta equivalent to applying d and then next.
func (d Delta) compose(next Delta) Delta {
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
	composed := Delta{From: d.From, Removed: slices.Sorted(maps.Keys(removed))}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		composed.Changed = append(composed.Changed, changed[id])
	}
	return composed
}

// Apply returns a copy of list with the delta applied.
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

// rememberDelta stores the delta from the current listing to next, dropping the oldest delta
// beyond maxDeltas. The lock is held.
func (s *Set) rememberDelta(next Listing) {
	s.deltas = append(s.deltas, diffListings(s.listing, next))
	if over := len(s.deltas) - maxDeltas; over > 0 {
		s.deltas = slices.Delete(s.deltas, 0, over)
	}
}

// DeltaSince returns the delta from the listing with the digest to the newest one; false if it
// is no longer stored. Zero is not a valid digest.
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
	composed := s.deltas[first]
	for _, delta := range s.deltas[first+1:] {
		composed = composed.compose(delta)
	}
	return composed, true
}
