package scheduler

import "container/heap"

// fairQueue implements start-time fair queueing across the workspaces of one class, with costs
// in expected tokens. The items of one workspace are served in order of key.
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

func (q *fairQueue[T]) push(item *Item[T], key int64) {
	f := q.flow(item.Workspace)
	if f.queued == 0 {
		f.startTag = max(f.startTag, q.clock.virtualTime)
		heap.Push(&q.active, f)
	}
	item.state = q.state
	f.queued++
	q.queued++
	f.items.add(item, key, f.queued)
}

// flow returns or creates the workspace's flow. Idle flows are kept while their start tag is
// ahead of the virtual time, so that a workspace gains nothing by leaving and returning.
func (q *fairQueue[T]) flow(workspace string) *flow[T] {
	if f, ok := q.flows[workspace]; ok {
		return f
	}
	if len(q.flows) > compactThreshold && len(q.flows) > 2*len(q.active) {
		q.prune()
	}
	f := &flow[T]{workspace: workspace, index: -1}
	q.flows[workspace] = f
	return f
}

func (q *fairQueue[T]) prune() {
	for name, f := range q.flows {
		if f.queued == 0 && (f.startTag <= q.clock.virtualTime || len(q.flows) > maxIdleFlows) {
			delete(q.flows, name)
		}
	}
}

// maxIdleFlows is the number of flows above which idle ones are deleted even if their start tag
// is ahead of the virtual time.
const maxIdleFlows = 4096

func (q *fairQueue[T]) first() *Item[T] {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].items.first()
}

// charge advances the virtual time to the start tag of item's flow, and then the tag by the
// item's cost divided by weight.
func (q *fairQueue[T]) charge(item *Item[T], weight float64) {
	f := q.flows[item.Workspace]
	q.clock.virtualTime = max(q.clock.virtualTime, f.startTag)
	item.charge = item.Cost / weight
	q.advanceTag(f, item.charge)
}

func (q *fairQueue[T]) advanceTag(f *flow[T], delta float64) {
	f.startTag += delta
	if f.index >= 0 {
		heap.Fix(&q.active, f.index)
	}
}

// remove removes a queued item. Its heap entries become stale.
func (q *fairQueue[T]) remove(item *Item[T]) {
	f := q.flows[item.Workspace]
	item.state = dequeued
	f.queued--
	q.queued--
	if f.queued > 0 {
		return
	}
	heap.Remove(&q.active, f.index)
	f.items.entries = nil
}
