package router

// arrivalHeap implements heap.Interface in order of arrival.
type arrivalHeap []*waiting

func (h arrivalHeap) Len() int           { return len(h) }
func (h arrivalHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h arrivalHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *arrivalHeap) Push(x any) { *h = append(*h, x.(*waiting)) }

// Pop implements heap.Interface.
func (h *arrivalHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*h = old[:last]
	return w
}
