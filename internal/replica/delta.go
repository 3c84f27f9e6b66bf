package replica

import (
	"maps"
	"slices"
)

// Delta is the difference between two listings.
type Delta struct {
	// From is the digest of the listing to which the delta applies.
	From uint64
	// Changed are the replicas that are new or whose registration changed, ordered by ID.
	Changed []Replica
	// Removed are the IDs of replicas that are no longer listed.
	Removed []string
}

// diffListings returns the delta between two listings that are ordered by ID.
func diffListings(old, next Listing) Delta {
	delta := Delta{From: old.Digest}
	pairs(old.Replicas, next.Replicas, func(o, n *Replica) {
		switch {
		case n == nil:
			delta.Removed = append(delta.Removed, o.ID)
		case o == nil || *o != *n:
			delta.Changed = append(delta.Changed, *n)
		}
	})
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

// Apply returns a copy of the list with the delta applied, ordered by ID.
func (d Delta) Apply(list []Replica) []Replica {
	removed := make(map[string]bool, len(d.Removed))
	for _, id := range d.Removed {
		removed[id] = true
	}
	next := make([]Replica, 0, len(list)+len(d.Changed))
	pairs(sortedByID(list), sortedByID(d.Changed), func(old, changed *Replica) {
		switch {
		case changed != nil:
			next = append(next, *changed)
		case !removed[old.ID]:
			next = append(next, *old)
		}
	})
	return next
}
