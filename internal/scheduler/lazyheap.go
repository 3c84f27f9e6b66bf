package scheduler

import "container/heap"

// compactThreshold is the number of entries up to which a heap is not compacted, and of flows
// up to which a fairQueue is not pruned.
const compactThreshold = 64

type entry[T any] struct {
	key  int64
	item *Item[T]
	// state is the item's state when the entry was added. The entry is stale if the item's
	// state has changed since.
	state    itemState
	sequence uint64
}

func (e *entry[T]) valid() bool {
	return e.item.state == e.state && e.item.sequence == e.sequence
}

// lazyHeap is a min-heap of items by key. Stale entries are removed when they reach the top or
// when the heap is compacted.
type lazyHeap[T any] struct {
	entries []entry[T]
	// anyState keeps entries valid when their item moves from on time to late.
	anyState bool
}

func (h *lazyHeap[T]) Len() int { return len(h.entries) }
func (h *lazyHeap[T]) Less(i, j int) bool {
	a, b := &h.entries[i], &h.entries[j]
	if a.key != b.key {
		return a.key < b.key
	}
	return a.sequence < b.sequence
}
func (h *lazyHeap[T]) Swap(i, j int) { h.entries[i], h.entries[j] = h.entries[j], h.entries[i] }

func (h *lazyHeap[T]) Push(x any) { h.entries = append(h.entries, *x.(*entry[T])) }

func (h *lazyHeap[T]) Pop() any {
	last := len(h.entries) - 1
	item := h.entries[last].item
	h.entries[last] = entry[T]{}
	h.entries = h.entries[:last]
	return item
}

// add adds item and first compacts the heap if fewer than half of its entries are valid.
// validCount is the number of valid entries including item.
func (h *lazyHeap[T]) add(item *Item[T], key int64, validCount int) {
	if len(h.entries) > compactThreshold && len(h.entries) > 2*validCount {
		h.compact()
	}
	heap.Push(h, &entry[T]{key: key, item: item, state: item.state, sequence: item.sequence})
}

// first returns the valid item with the smallest key, or nil.
func (h *lazyHeap[T]) first() *Item[T] {
	for len(h.entries) > 0 {
		if h.valid(&h.entries[0]) {
			return h.entries[0].item
		}
		heap.Pop(h)
	}
	return nil
}

func (h *lazyHeap[T]) valid(e *entry[T]) bool {
	if h.anyState {
		return e.item.Queued() && e.item.sequence == e.sequence
	}
	return e.valid()
}

func (h *lazyHeap[T]) compact() {
	kept := h.entries[:0]
	for _, e := range h.entries {
		if h.valid(&e) {
			kept = append(kept, e)
		}
	}
	clear(h.entries[len(kept):])
	h.entries = kept
	heap.Init(h)
}
