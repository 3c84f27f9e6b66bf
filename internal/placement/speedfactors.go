package placement

// speedFactors returns how fast the replica prefills and decodes relative to the mean of its
// upstream; 2 is twice as fast. Both are 1 if speeds are not learned, and for replicas of one
// speed: there the factors tell only what a replica runs at the moment, and moved sessions for nothing.
func (u *upstream) speedFactors(s *replicaState) (prefill, decode float64) {
	if !u.speedOrder.grading.Unlike {
		return 1, 1
	}
	return s.speed.PrefillFactor(), s.speed.DecodeFactor()
}
