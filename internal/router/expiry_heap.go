package router

import (
	"container/heap"
	"time"
)

// expiryHeap implements heap.Interface in order of GiveUpAt. Requests that left
// the queue stay in it, marked as gone, until compacted.
type expiryHeap []*waiting

func (h expiryHeap) Len() int { return len(h) }
func (h expiryHeap) Less(i, j int) bool {
	return h[i].request.GiveUpAt.Before(h[j].request.GiveUpAt)
}
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*waiting)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*h = old[:last]
	return w
}

// due takes out the first request whose time is up at now, or returns nil.
func (h *expiryHeap) due(now time.Time) *waiting {
	h.dropGone()
	if len(*h) == 0 || (*h)[0].request.GiveUpAt.After(now) {
		return nil
	}
	return heap.Pop(h).(*waiting)
}

// next returns when the first request's time is up; zero where none waits.
func (h *expiryHeap) next() time.Time {
	h.dropGone()
	if len(*h) == 0 {
		return time.Time{}
	}
	return (*h)[0].request.GiveUpAt
}

func (h *expiryHeap) dropGone() {
	for len(*h) > 0 && (*h)[0].gone {
		heap.Pop(h)
	}
}

// compact drops all requests that are gone.
func (h *expiryHeap) compact() {
	kept := (*h)[:0]
	for _, w := range *h {
		if !w.gone {
			kept = append(kept, w)
		}
	}
	clear((*h)[len(kept):])
	*h = kept
	heap.Init(h)
}
