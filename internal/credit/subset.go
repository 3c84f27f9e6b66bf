package credit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// subset is the choice of an upstream's replicas with which a node works.
type subset struct {
	names map[string]bool
	// of is the number of replicas from which it was chosen.
	of int
	// made and used are when it was last worked out and last asked for.
	made, used time.Time
}

// Subset returns the replicas of an upstream with which this node works: the
// of the first owners by a hash of node and owner, so that the messages are
// bounded and the nodes' choices spread evenly, and any others on which it still
// runs something. With few nodes these are all.
func (w *Wallet) Subset(now time.Time, need Need) []ReplicaNeed {
	s, ok := w.subsets[need.Upstream]
	if !ok || s.of != len(need.Replicas) || now.Sub(s.made) > w.settings.Renew {
		s = w.choose(now, need)
		w.subsets[need.Upstream] = s
	}
	s.used = now
	var chosen []ReplicaNeed
	for _, r := range need.Replicas {
		if s.names[r.Name] || r.Running > 0 {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

func (w *Wallet) choose(now time.Time, need Need) *subset {
	ranked := owners(need.Replicas)
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
	return &subset{names: names, of: len(need.Replicas), made: now}
}

// weight ranks the owners for this node.
func (w *Wallet) weight(owner string) uint64 {
	return xxhash.Sum64String(w.node + "\x00" + owner)
}
