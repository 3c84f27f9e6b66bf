package scheduler

// flow is one workspace's items in a fairQueue, served in order of start tag.
type flow[T any] struct {
	workspace string
	items     lazyHeap[T]
	startTag  float64
	// queued counts the queued items; items may also contain stale entries.
	queued int
	// index is the position in the flowHeap, or -1 if idle.
	index int
}

// flowHeap implements heap.Interface, ordered by start tag.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].workspace < h[j].workspace
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}
