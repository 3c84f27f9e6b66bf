package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Queue is the order of one pool's waiting items. It is not safe for
// concurrent use.
type Queue[T any] struct {
	// classes by tier, then name.
	classes  []*classQueue[T]
	byName   map[string]*classQueue[T]
	weights  map[string]float64
	clocks   map[int]*tierClocks
	sequence uint64
	live     int
}

// NewQueue returns an empty queue without classes.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{byName: make(map[string]*classQueue[T]), clocks: make(map[int]*tierClocks)}
}

// clocksOf returns the clocks that all classes of a tier share.
func (q *Queue[T]) clocksOf(tier int) *tierClocks {
	clocks, ok := q.clocks[tier]
	if !ok {
		clocks = &tierClocks{}
		q.clocks[tier] = clocks
	}
	return clocks
}

// SetClass adds a class or changes its settings.
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

// RemoveClass forgets a class in which nothing waits and nothing runs by share.
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

// SetWeights sets the workspaces' fair shares; 1 where one is missing.
func (q *Queue[T]) SetWeights(weights map[string]float64) { q.weights = weights }

func (q *Queue[T]) weight(workspace string) float64 {
	if w := q.weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.live }

// Push puts item into the named class, which must be known.
func (q *Queue[T]) Push(now time.Time, class string, item *Item[T]) {
	q.sequence++
	item.sequence = q.sequence
	q.live++
	q.byName[class].push(now, item)
}

// Remove takes a waiting item out.
func (q *Queue[T]) Remove(item *Item[T]) {
	if !item.Queued() {
		return
	}
	item.class.band(item).remove(item)
	q.live--
}

// Pop takes out the item that the next of slots slots is for, or returns nil.
// Minimum shares that are due go first; they take a free slot and nothing else.
func (q *Queue[T]) Pop(now time.Time, slots int) *Item[T] {
	next := q.first(now)
	if next == nil {
		return nil
	}
	if owed := q.owed(now, slots, next); owed != nil {
		owed.byShare = true
		owed.class.share.running++
		next = owed
	}
	band := next.class.band(next)
	band.charge(next, q.weight(next.Workspace))
	q.Remove(next)
	return next
}

// first returns the next item by tier, then on time before late, then slack, or
// in place of slack the workspaces' shares where the tier has late ones: not all
// can be served in time then, and slack would have a workspace that asks for too
// much draw the others along.
func (q *Queue[T]) first(now time.Time) *Item[T] {
	var best *Item[T]
	late := false
	for _, c := range q.classes {
		if best != nil && c.Tier != best.class.Tier {
			return best
		}
		item := c.first(now)
		late = late || c.late.live > 0
		if item != nil && (best == nil || item.ahead(best, late)) {
			best = item
		}
	}
	return best
}

// ahead orders the heads of two classes of one tier.
func (i *Item[T]) ahead(other *Item[T], byShare bool) bool {
	if i.state != other.state {
		return i.state == onTime
	}
	if mine, others := i.tag(), other.tag(); byShare && mine != others {
		return mine < others
	}
	return i.LatestStart.Before(other.LatestStart)
}

// tag is the start tag of a waiting item's workspace.
func (i *Item[T]) tag() float64 {
	return i.class.band(i).flows[i.Workspace].tag
}

// owed returns the item of a class, other than next's, whose share is due.
func (q *Queue[T]) owed(now time.Time, slots int, next *Item[T]) *Item[T] {
	for _, c := range q.classes {
		if c != next.class && c.shareDue(now, slots) {
			return c.first(now)
		}
	}
	return nil
}

// Restore puts back an item that Pop took out and that could not be used.
func (q *Queue[T]) Restore(now time.Time, item *Item[T]) {
	if item.byShare {
		item.class.share.running--
		item.byShare = false
	}
	charge := item.charge
	q.Push(now, item.class.Name, item)
	band := item.class.band(item)
	band.shift(band.flows[item.Workspace], -charge)
}

// ReleaseMinShare gives back the share's slot of an item that left by share and held it.
func (q *Queue[T]) ReleaseMinShare(now time.Time, item *Item[T], held time.Duration, slots int) {
	if !item.byShare {
		return
	}
	item.byShare = false
	c := item.class
	c.share.ended(now, held, c.minShare()*float64(slots))
}

// HighestTier returns the highest tier of which an item waits, or -1.
func (q *Queue[T]) HighestTier() int {
	for _, c := range q.classes {
		if c.len() > 0 {
			return c.Tier
		}
	}
	return -1
}
