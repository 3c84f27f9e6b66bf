package fairshare

import (
	"testing"

	"galenatrestle/internal/placement"
)

// Guards against a workspace above its share that waits behind the next tier, and against ranks that
// replicas count as one.
func TestSplitRankStaysWithinItsTier(t *testing.T) {
	for ranks := range 8 {
		for rank := range ranks {
			inside, above := SplitRank(rank, ranks, false), SplitRank(rank, ranks, true)
			if 2*ranks > placement.Ranks {
				if inside != rank || above != rank {
					t.Errorf("%d ranks do not fit when split, but rank %d becomes %d and %d", ranks, rank, inside, above)
				}
				continue
			}
			if next := SplitRank(rank+1, ranks, false); above <= inside || above >= next || above >= placement.Ranks {
				t.Errorf("rank %d of %d: %d within the share, %d above it, the next tier %d", rank, ranks, inside, above, next)
			}
		}
	}
}
