package fairshare

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxWorkspaces is the largest number of workspaces in the sums that nodes send, over all upstreams.
const MaxWorkspaces = 64

// ID identifies a workspace between nodes. Calls without a workspace count as one.
type ID uint64

// IDOf returns the ID of the workspace with the name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Use is the cost at one upstream by workspace.
type Use struct {
	Workspaces map[ID]Cost
	// Rest is the cost of workspaces that are not listed: those with the least use.
	Rest Cost
	// Queue is the expected queue.
	Queue Queue
}

// Sums are the uses by upstream.
type Sums map[string]Use

// add adds the other sums and returns the result; s may be nil.
func (s Sums) add(other Sums) Sums {
	if s == nil {
		s = make(Sums, len(other))
	}
	for upstream, use := range other {
		sum := s[upstream]
		if sum.Workspaces == nil {
			sum.Workspaces = make(map[ID]Cost, len(use.Workspaces))
		}
		for id, cost := range use.Workspaces {
			sum.Workspaces[id] = sum.Workspaces[id].plus(cost)
		}
		sum.Rest, sum.Queue = sum.Rest.plus(use.Rest), sum.Queue.plus(use.Queue)
		s[upstream] = sum
	}
	return s
}

// minus returns the sums without a part of them.
func (s Sums) minus(part Sums) Sums {
	result := make(Sums, len(s))
	for upstream, use := range s {
		left := Use{Workspaces: make(map[ID]Cost, len(use.Workspaces)), Rest: use.Rest.minus(part[upstream].Rest), Queue: use.Queue.minus(part[upstream].Queue)}
		for id, cost := range use.Workspaces {
			left.Workspaces[id] = cost.minus(part[upstream].Workspaces[id])
		}
		result[upstream] = left
	}
	return result
}

// total returns the cost of all workspaces.
func (u *Use) total() Cost {
	total := u.Rest
	for _, cost := range u.Workspaces {
		total = total.plus(cost)
	}
	return total
}

// entry is one workspace's cost at one upstream.
type entry struct {
	upstream string
	id       ID
	cost     Cost
	// part is the workspace's part of what is asked of the upstream.
	part float64
}

// largest returns the sums with at most MaxWorkspaces workspaces, those with the largest parts of their
// upstreams. The others are added to Rest.
func (s Sums) largest() Sums {
	var entries []entry
	for upstream, use := range s {
		total := use.total()
		for id, cost := range use.Workspaces {
			entries = append(entries, entry{upstream, id, cost, cost.Asked / total.Asked})
		}
	}
	if len(entries) <= MaxWorkspaces {
		return s
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Or(cmp.Compare(b.part, a.part), cmp.Compare(a.id, b.id)) })
	result := maps.Clone(s)
	for upstream, use := range s {
		result[upstream] = Use{Workspaces: make(map[ID]Cost), Rest: use.Rest, Queue: use.Queue}
	}
	for i, e := range entries {
		use := result[e.upstream]
		if i < MaxWorkspaces {
			use.Workspaces[e.id] = e.cost
		} else {
			use.Rest = use.Rest.plus(e.cost)
			result[e.upstream] = use
		}
	}
	return result
}
