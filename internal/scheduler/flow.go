package scheduler

// flow is one workspace's items in one band, with its start tag of the fair
// queueing: the flow with the least tag is next.
type flow[T any] struct {
	workspace string
	items     lazyHeap[T]
	tag       float64
	// live is the number of items that wait.
	live int
	// index is the flow's place in the heap of flows, or -1.
	index int
}

// flowHeap implements heap.Interface in order of the start tags.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].workspace < h[j].workspace
}

// Swap implements heap.Interface.
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}
