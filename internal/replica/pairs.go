package replica

import (
	"cmp"
	"slices"
	"strings"
)

func compareIDs(a, b Replica) int { return strings.Compare(a.ID, b.ID) }

// sortedByID returns the list ordered by ID: itself if it is ordered, otherwise a copy.
func sortedByID(list []Replica) []Replica {
	if slices.IsSortedFunc(list, compareIDs) {
		return list
	}
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, compareIDs)
	return sorted
}

// pairs calls f for each ID of two lists that are ordered by ID, with the replica of each list; nil
// if the list does not have it.
func pairs(old, next []Replica, f func(old, next *Replica)) {
	for len(old) > 0 || len(next) > 0 {
		var o, n *Replica
		order := 0
		switch {
		case len(old) == 0:
			order = 1
		case len(next) == 0:
			order = -1
		default:
			order = cmp.Compare(old[0].ID, next[0].ID)
		}
		if order <= 0 {
			o, old = &old[0], old[1:]
		}
		if order >= 0 {
			n, next = &next[0], next[1:]
		}
		f(o, n)
	}
}

// find returns the replica with the ID in a list that is ordered by ID.
func find(list []Replica, id string) (Replica, bool) {
	at, found := slices.BinarySearchFunc(list, id, func(r Replica, id string) int { return strings.Compare(r.ID, id) })
	if !found {
		return Replica{}, false
	}
	return list[at], true
}
