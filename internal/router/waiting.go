package router

// waiting is a request that has no replica yet.
type waiting struct {
	request Request
	class   *classState
	// sequence orders requests that arrived at the same instant.
	sequence uint64
	gone     bool
}

// before orders by arrival.
func (w *waiting) before(other *waiting) bool {
	if !w.request.Arrived.Equal(other.request.Arrived) {
		return w.request.Arrived.Before(other.request.Arrived)
	}
	return w.sequence < other.sequence
}
