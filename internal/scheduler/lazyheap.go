package scheduler

import "container/heap"

// minCompact is the number of entries below which a heap is not compacted.
const minCompact = 64

// entry is an item under the key that it had when it was pushed.
type entry[T any] struct {
	key  int64
	item *Item[T]
	// state is the item's state when it was pushed; another one now means
	// that the entry is out of date.
	state    itemState
	sequence uint64
}

func (e *entry[T]) valid() bool {
	return e.item.state == e.state && e.item.sequence == e.sequence
}

// lazyHeap is a heap of items by key. Items that left the queue or changed
// their state stay in it until they are met or the heap is compacted.
type lazyHeap[T any] struct {
	entries []entry[T]
	// anyState takes all waiting items as valid, on time or late.
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

// Push implements heap.Interface.
func (h *lazyHeap[T]) Push(x any) { h.entries = append(h.entries, *x.(*entry[T])) }

// Pop implements heap.Interface.
func (h *lazyHeap[T]) Pop() any {
	last := len(h.entries) - 1
	item := h.entries[last].item
	h.entries[last] = entry[T]{}
	h.entries = h.entries[:last]
	return item
}

// add pushes item; live is the number of valid entries, which bounds the heap.
func (h *lazyHeap[T]) add(item *Item[T], key int64, live int) {
	if len(h.entries) > minCompact && len(h.entries) > 2*live {
		h.compact()
	}
	heap.Push(h, &entry[T]{key: key, item: item, state: item.state, sequence: item.sequence})
}

// first returns the valid item with the least key, or nil.
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
