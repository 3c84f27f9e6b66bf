package placement

import (
	"cmp"
	"math"
	"slices"
)

// speedFactors returns how fast the replica prefills and decodes relative to the mean of its
// upstream; 2 is twice as fast. Speeds of single replicas are not learned yet.
func (s *replicaState) speedFactors() (prefill, decode float64) { return 1, 1 }

const (
	// speedClassRatio is the ratio of the speeds of two neighbouring classes: wider than the errors
	// of speeds learned from a few dozen answers, so that nodes agree on most classes.
	speedClassRatio = 1.25
	// speedClassMargin is how far, in classes, a speed has to be from its class to change it.
	speedClassMargin = 0.75
	// slowFirst puts slow replicas on the side of short prompts first.
	slowFirst = true
)

// updateSpeedClass updates the class of the replica's speed and reports whether it changed.
func (s *replicaState) updateSpeedClass() bool {
	prefill, decode := s.speedFactors()
	class := math.Log(prefill*decode) / 2 / math.Log(speedClassRatio)
	if math.Abs(class-float64(s.speedClass)) <= speedClassMargin {
		return false
	}
	s.speedClass = int(math.Round(class))
	return true
}

// orderBySpeed orders the available replicas by the class of their speed, and within a class as
// before, so that all nodes with the same classes form the same sides.
func (u *upstream) orderBySpeed() {
	changed := false
	for _, s := range u.available {
		changed = s.updateSpeedClass() || changed
	}
	if changed || !slices.IsSortedFunc(u.available, compareSpeedClasses) {
		u.sortBySpeedClass()
	}
}

func (u *upstream) sortBySpeedClass() {
	slices.SortFunc(u.available, func(a, b *replicaState) int {
		return cmp.Or(compareSpeedClasses(a, b), cmp.Compare(a.order, b.order))
	})
}

func compareSpeedClasses(a, b *replicaState) int {
	if slowFirst {
		return cmp.Compare(a.speedClass, b.speedClass)
	}
	return cmp.Compare(b.speedClass, a.speedClass)
}
