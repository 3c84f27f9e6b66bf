package scheduler

import "container/heap"

// fairQueue implements start-time fair queueing across the workspaces of one class, with costs
// in expected tokens. A workspace's item with the smallest key is first.
type fairQueue[T any] struct {
	state  itemState
	flows  map[string]*flow[T]
	active flowHeap[T]
	clock  *clock
	queued int
}

// clock is the virtual time of start-time fair queueing: the largest start tag dequeued so
// far.
type clock struct{ virtualTime float64 }

func newFairQueue[T any](state itemState) *fairQueue[T] {
	return &fairQueue[T]{state: state, flows: make(map[string]*flow[T])}
}

func (b *fairQueue[T]) push(item *Item[T], key int64) {
	f := b.flow(item.Workspace)
	if f.queued == 0 {
		f.startTag = max(f.startTag, b.clock.virtualTime)
		heap.Push(&b.active, f)
	}
	item.state = b.state
	f.queued++
	b.queued++
	f.items.add(item, key, f.queued)
}

// flow returns or creates the workspace's flow. Idle flows are kept while their start tag is
// ahead, so that a workspace gains nothing by leaving and returning.
func (b *fairQueue[T]) flow(workspace string) *flow[T] {
	if f, ok := b.flows[workspace]; ok {
		return f
	}
	if len(b.flows) > compactThreshold && len(b.flows) > 2*len(b.active) {
		b.prune()
	}
	f := &flow[T]{workspace: workspace, index: -1}
	b.flows[workspace] = f
	return f
}

func (b *fairQueue[T]) prune() {
	for name, f := range b.flows {
		if f.queued == 0 && (f.startTag <= b.clock.virtualTime || len(b.flows) > maxIdleFlows) {
			delete(b.flows, name)
		}
	}
}

// maxIdleFlows bounds the idle flows kept only for their start tags.
const maxIdleFlows = 4096

func (b *fairQueue[T]) first() *Item[T] {
	if len(b.active) == 0 {
		return nil
	}
	return b.active[0].items.first()
}

func (b *fairQueue[T]) charge(item *Item[T], weight float64) {
	f := b.flows[item.Workspace]
	b.clock.virtualTime = max(b.clock.virtualTime, f.startTag)
	item.charge = item.Cost / weight
	b.advanceTag(f, item.charge)
}

func (b *fairQueue[T]) advanceTag(f *flow[T], by float64) {
	f.startTag += by
	if f.index >= 0 {
		heap.Fix(&b.active, f.index)
	}
}

// remove removes a queued item. Its heap entries become stale.
func (b *fairQueue[T]) remove(item *Item[T]) {
	f := b.flows[item.Workspace]
	item.state = dequeued
	f.queued--
	b.queued--
	if f.queued > 0 {
		return
	}
	heap.Remove(&b.active, f.index)
	f.items.entries = nil
}
