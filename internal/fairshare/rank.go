package fairshare

import "galenatrestle/internal/placement"

// SplitRank returns the rank that replicas get for a call of the rank, of which there are so many. Each
// rank is split into two, of which the less urgent one is for workspaces above their share: they wait for
// others of the same tier, and never for the next tier. If the ranks do not fit when split, all calls keep
// theirs.
func SplitRank(rank, ranks int, above bool) int {
	if ranks == 0 || 2*ranks > placement.Ranks {
		return rank
	}
	if above {
		return 2*rank + 1
	}
	return 2 * rank
}
