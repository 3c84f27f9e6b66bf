package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Queue holds the waiting items of one pool in scheduling order. It is not safe for concurrent
// use.
type Queue[T any] struct {
	// classes is sorted by tier, then name.
	classes  []*classQueue[T]
	byName   map[string]*classQueue[T]
	weights  map[string]float64
	clocks   map[int]*tierClocks
	sequence uint64
	queued   int
}

// NewQueue returns an empty queue without classes.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{byName: make(map[string]*classQueue[T]), clocks: make(map[int]*tierClocks)}
}

func (q *Queue[T]) clocksOf(tier int) *tierClocks {
	clocks, ok := q.clocks[tier]
	if !ok {
		clocks = &tierClocks{}
		q.clocks[tier] = clocks
	}
	return clocks
}

// SetClass adds a class or updates its settings.
func (q *Queue[T]) SetClass(class Class) {
	c, ok := q.byName[class.Name]
	if !ok {
		c = newClassQueue[T](class)
		q.byName[class.Name] = c
		q.classes = append(q.classes, c)
	}
	c.Class = class
	c.setClocks(q.clocksOf(class.Tier))
	slices.SortFunc(q.classes, func(a, b *classQueue[T]) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Name, b.Name))
	})
}

// RemoveClass removes a class unless it has queued items or items running under its minimum
// share.
func (q *Queue[T]) RemoveClass(name string) {
	c, ok := q.byName[name]
	if !ok || c.len() > 0 || c.share.running > 0 {
		return
	}
	delete(q.byName, name)
	q.classes = slices.DeleteFunc(q.classes, func(other *classQueue[T]) bool { return other == c })
	if !slices.ContainsFunc(q.classes, func(other *classQueue[T]) bool { return other.Tier == c.Tier }) {
		delete(q.clocks, c.Tier)
	}
}

// SetWeights sets the workspaces' fair-share weights. The default weight is 1.
func (q *Queue[T]) SetWeights(weights map[string]float64) { q.weights = weights }

func (q *Queue[T]) weight(workspace string) float64 {
	if w := q.weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.queued }

// Push adds item to the named class, which must exist.
func (q *Queue[T]) Push(now time.Time, class string, item *Item[T]) {
	q.sequence++
	item.sequence = q.sequence
	q.queued++
	q.byName[class].push(now, item)
}

// Remove removes item if it is queued.
func (q *Queue[T]) Remove(item *Item[T]) {
	if !item.Queued() {
		return
	}
	item.class.queueOf(item).remove(item)
	q.queued--
}

// Pop removes and returns the next item, or nil. slots is the pool's total number of slots. Items
// whose class is due its minimum share go first; running items are not preempted.
func (q *Queue[T]) Pop(now time.Time, slots int) *Item[T] {
	next := q.first(now)
	if next == nil {
		return nil
	}
	if due := q.dueItem(now, slots, next); due != nil {
		due.byMinShare = true
		due.class.share.running++
		next = due
	}
	fair := next.class.queueOf(next)
	fair.charge(next, q.weight(next.Workspace))
	q.Remove(next)
	return next
}

// first returns the next item by tier, then on time before late, then slack. If the tier has
// late items, start tags are compared instead of slack, so that the excess load of one workspace
// does not delay the others.
func (q *Queue[T]) first(now time.Time) *Item[T] {
	var best *Item[T]
	late := false
	for _, c := range q.classes {
		if best != nil && c.Tier != best.class.Tier {
			return best
		}
		item := c.first(now)
		late = late || c.late.queued > 0
		if item != nil && (best == nil || item.precedes(best, late)) {
			best = item
		}
	}
	return best
}

// precedes orders the heads of two classes of one tier.
func (i *Item[T]) precedes(other *Item[T], byStartTag bool) bool {
	if i.state != other.state {
		return i.state == onTime
	}
	if own, others := i.startTag(), other.startTag(); byStartTag && own != others {
		return own < others
	}
	return i.LatestStart.Before(other.LatestStart)
}

func (i *Item[T]) startTag() float64 {
	return i.class.queueOf(i).flows[i.Workspace].startTag
}

// dueItem returns the next item of another class whose minimum share is due, or nil.
func (q *Queue[T]) dueItem(now time.Time, slots int, next *Item[T]) *Item[T] {
	for _, c := range q.classes {
		if c != next.class && c.shareDue(now, slots) {
			return c.first(now)
		}
	}
	return nil
}

// Restore puts back a popped item that could not be started. It refunds the item's cost and
// releases its minimum-share slot, if any.
func (q *Queue[T]) Restore(now time.Time, item *Item[T]) {
	if item.byMinShare {
		item.class.share.running--
		item.byMinShare = false
	}
	charge := item.charge
	q.Push(now, item.class.Name, item)
	fair := item.class.queueOf(item)
	fair.advanceTag(fair.flows[item.Workspace], -charge)
}

// ReleaseMinShare releases the slot that item occupied for held, if it was popped under its
// class's minimum share.
func (q *Queue[T]) ReleaseMinShare(now time.Time, item *Item[T], held time.Duration, slots int) {
	if !item.byMinShare {
		return
	}
	item.byMinShare = false
	c := item.class
	c.share.release(now, held, c.minShare()*float64(slots))
}

// HighestTier returns the highest-priority tier with a queued item, or -1 if there is none.
func (q *Queue[T]) HighestTier() int {
	for _, c := range q.classes {
		if c.len() > 0 {
			return c.Tier
		}
	}
	return -1
}
