package fairshare

import (
	"math"
	"slices"
)

// fairLevel returns the cost up to which each workspace is served if the capacity is divided max-min
// fairly: a workspace that asks for less gets what it asks for, and the others get equal parts of the
// rest. It is infinite if the capacity suffices for all.
// asked is what each of them asks for, in any order; it is sorted.
func fairLevel(asked []float64, capacity float64) float64 {
	slices.Sort(asked)
	left := capacity
	for i, cost := range asked {
		part := left / float64(len(asked)-i)
		if cost > part {
			return part
		}
		left -= cost
	}
	return math.Inf(1)
}
