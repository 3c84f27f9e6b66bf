package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

type candidate struct {
	hash  uint64
	index int
}

// rank returns the indexes of the n highest-ranked candidates for the key.
func rank(candidates []candidate, key string, n int) []int {
	type scored struct {
		score uint64
		index int
	}
	keyHash := xxhash.Sum64String(key)
	all := make([]scored, len(candidates))
	for i, c := range candidates {
		all[i] = scored{score: mix(c.hash ^ keyHash), index: c.index}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if order := cmp.Compare(b.score, a.score); order != 0 {
			return order
		}
		return cmp.Compare(a.index, b.index)
	})
	all = all[:min(n, len(all))]
	ranked := make([]int, len(all))
	for i, s := range all {
		ranked[i] = s.index
	}
	return ranked
}

// topRanked equals rank with n = 1 but does not allocate; it returns -1 for none.
func topRanked(candidates []candidate, key string) int {
	keyHash := xxhash.Sum64String(key)
	best, bestScore := -1, uint64(0)
	for _, c := range candidates {
		score := mix(c.hash ^ keyHash)
		if best < 0 || score > bestScore {
			best, bestScore = c.index, score
		}
	}
	return best
}
