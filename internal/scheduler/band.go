package scheduler

import "container/heap"

// band shares its class's turn between the workspaces by start-time fair
// queueing over expected tokens. Within a workspace the least key is first.
type band[T any] struct {
	state  itemState
	flows  map[string]*flow[T]
	active flowHeap[T]
	clock  *clock
	live   int
}

// clock is the virtual time of the fair queueing: the start tag of what went
// last.
type clock struct{ virtual float64 }

func newBand[T any](state itemState) *band[T] {
	return &band[T]{state: state, flows: make(map[string]*flow[T])}
}

func (b *band[T]) push(item *Item[T], key int64) {
	f := b.flow(item.Workspace)
	if f.live == 0 {
		f.tag = max(f.tag, b.clock.virtual)
		heap.Push(&b.active, f)
	}
	item.state = b.state
	f.live++
	b.live++
	f.items.add(item, key, f.live)
}

// flow returns the workspace's flow. Idle flows are kept while their tag is
// ahead, so that leaving and coming back wins nothing.
func (b *band[T]) flow(workspace string) *flow[T] {
	if f, ok := b.flows[workspace]; ok {
		return f
	}
	if len(b.flows) > minCompact && len(b.flows) > 2*len(b.active) {
		b.prune()
	}
	f := &flow[T]{workspace: workspace, index: -1}
	b.flows[workspace] = f
	return f
}

func (b *band[T]) prune() {
	for name, f := range b.flows {
		if f.live == 0 && (f.tag <= b.clock.virtual || len(b.flows) > maxIdleFlows) {
			delete(b.flows, name)
		}
	}
}

// maxIdleFlows bounds the flows that are kept for their tag alone.
const maxIdleFlows = 4096

// first returns the next item, or nil.
func (b *band[T]) first() *Item[T] {
	if len(b.active) == 0 {
		return nil
	}
	return b.active[0].items.first()
}

// charge moves the item's workspace back by the item's weighted cost.
func (b *band[T]) charge(item *Item[T], weight float64) {
	f := b.flows[item.Workspace]
	b.clock.virtual = max(b.clock.virtual, f.tag)
	item.charge = item.Cost / weight
	b.shift(f, item.charge)
}

func (b *band[T]) shift(f *flow[T], by float64) {
	f.tag += by
	if f.index >= 0 {
		heap.Fix(&b.active, f.index)
	}
}

// remove takes a waiting item out; heap entries of it become out of date.
func (b *band[T]) remove(item *Item[T]) {
	f := b.flows[item.Workspace]
	item.state = gone
	f.live--
	b.live--
	if f.live > 0 {
		return
	}
	heap.Remove(&b.active, f.index)
	f.items.entries = nil
}
