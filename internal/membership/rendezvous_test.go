package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/cespare/xxhash/v2"
)

func candidates(n int) []candidate {
	list := make([]candidate, n)
	for i := range list {
		list[i] = candidate{hash: xxhash.Sum64String(nodeName("r", i)), index: i}
	}
	return list
}

func TestOwnersAreSpreadEvenly(t *testing.T) {
	const keys = 60 * 350
	owned := make([]int, 60)
	for i := range keys {
		owned[topRanked(candidates(60), fmt.Sprintf("replica-%d", i))]++
	}
	for i, n := range owned {
		if n < 350*7/10 || n > 350*13/10 {
			t.Errorf("member %d owns %d keys, want about 350", i, n)
		}
	}
}

// TestRankIsStable checks that removing a member moves only its own keys, each to
// the next member of the ranking.
func TestRankIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "members")
		key := rapid.String().Draw(t, "key")
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		all := candidates(n)
		ranked := rank(all, key, n)
		if owner := topRanked(all, key); owner != ranked[0] {
			t.Fatalf("owner %d is not the first of ranking %v", owner, ranked)
		}
		want := ranked[0]
		if want == gone {
			want = ranked[1]
		}
		rest := append(all[:gone:gone], all[gone+1:]...)
		if owner := topRanked(rest, key); owner != want {
			t.Fatalf("without %d the owner is %d, want %d", gone, owner, want)
		}
	})
}
