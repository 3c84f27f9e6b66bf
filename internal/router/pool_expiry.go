package router

import "container/heap"

// minCompact is the number of entries below which a heap is not compacted.
const minCompact = 64

// pushExpiry keeps the heap within twice the number of waiting requests.
func (p *Pool) pushExpiry(w *waiting) {
	if len(p.expiry) > minCompact && len(p.expiry) > 2*len(p.waiting) {
		p.expiry.compact()
	}
	heap.Push(&p.expiry, w)
}
