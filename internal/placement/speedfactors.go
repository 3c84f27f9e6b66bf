package placement

// speedFactors returns how fast the replica prefills and decodes relative to the mean of its
// upstream; 2 is twice as fast. Both are 1 if speeds are not learned.
func (s *replicaState) speedFactors() (prefill, decode float64) {
	return s.speed.PrefillFactor(), s.speed.DecodeFactor()
}
