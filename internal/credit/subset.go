package credit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// subset is the set of an upstream's replicas that a node uses.
type subset struct {
	names map[string]bool
	// total is the upstream's number of replicas at computedAt.
	total              int
	computedAt, usedAt time.Time
}

// Subset returns the replicas of an upstream that this node uses: those of the
// Settings.Owners highest-ranked owners, and any others on which it still runs
// requests. Ranking by a hash of node and owner bounds the number of messages and
// spreads the nodes evenly over the owners.
func (w *Wallet) Subset(now time.Time, need Need) []ReplicaNeed {
	s, ok := w.subsets[need.Upstream]
	if !ok || s.total != len(need.Replicas) || now.Sub(s.computedAt) > w.settings.Renew {
		s = w.choose(now, need)
		w.subsets[need.Upstream] = s
	}
	s.usedAt = now
	var chosen []ReplicaNeed
	for _, r := range need.Replicas {
		if s.names[r.Name] || r.Running > 0 {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

func (w *Wallet) choose(now time.Time, need Need) *subset {
	ranked := distinctOwners(need.Replicas)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(w.weight(b), w.weight(a)), cmp.Compare(a, b))
	})
	ranked = ranked[:min(w.settings.Owners, len(ranked))]
	names := make(map[string]bool)
	for _, r := range need.Replicas {
		if slices.Contains(ranked, r.Owner) {
			names[r.Name] = true
		}
	}
	return &subset{names: names, total: len(need.Replicas), computedAt: now}
}

// weight is the rendezvous hash of this node and an owner.
func (w *Wallet) weight(owner string) uint64 {
	return xxhash.Sum64String(w.node + "\x00" + owner)
}
