package replicapath

import (
	"math/rand/v2"
	"slices"
)

// shuffleLast puts the list in random order, with the elements that isLast accepts at its end.
func shuffleLast[T any](random *rand.Rand, list []T, isLast func(T) bool) {
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b T) int {
		switch aLast, bLast := isLast(a), isLast(b); {
		case aLast == bLast:
			return 0
		case aLast:
			return 1
		default:
			return -1
		}
	})
}
