package scheduler

import "time"

// classQueue holds the queued items of one class.
type classQueue[T any] struct {
	Class
	// onTime and late hold the items before and after their latest start. Late items run after
	// the on-time items of all classes in the tier.
	onTime        *fairQueue[T]
	late          *fairQueue[T]
	byArrival     lazyHeap[T]
	byLatestStart lazyHeap[T]
	byExpiry      lazyHeap[T]
	share         shareLimiter
}

func newClassQueue[T any](class Class) *classQueue[T] {
	return &classQueue[T]{
		Class: class, onTime: newFairQueue[T](onTime), late: newFairQueue[T](late),
		byArrival: lazyHeap[T]{anyState: true},
		byExpiry:  lazyHeap[T]{anyState: true},
	}
}

// tierClocks are shared by all classes of a tier, to make start tags comparable.
type tierClocks struct {
	onTime, late clock
}

func (c *classQueue[T]) setClocks(clocks *tierClocks) {
	c.onTime.clock = &clocks.onTime
	c.late.clock = &clocks.late
}

func (c *classQueue[T]) len() int { return c.onTime.queued + c.late.queued }

func (c *classQueue[T]) push(now time.Time, item *Item[T]) {
	item.class = c
	queued := c.len() + 1
	if item.LatestStart.Before(now) {
		c.late.push(item, item.Arrived.UnixNano())
	} else {
		c.onTime.push(item, item.LatestStart.UnixNano())
		c.byLatestStart.add(item, item.LatestStart.UnixNano(), c.onTime.queued)
	}
	c.byArrival.add(item, item.Arrived.UnixNano(), queued)
	c.byExpiry.add(item, item.ExpiresAt.UnixNano(), queued)
}

// demote moves the items that are past their latest start to late.
func (c *classQueue[T]) demote(now time.Time) {
	for item := c.byLatestStart.first(); item != nil && item.LatestStart.Before(now); item = c.byLatestStart.first() {
		c.onTime.remove(item)
		c.late.push(item, item.Arrived.UnixNano())
	}
}

func (c *classQueue[T]) queueOf(item *Item[T]) *fairQueue[T] {
	if item.state == onTime {
		return c.onTime
	}
	return c.late
}

func (c *classQueue[T]) first(now time.Time) *Item[T] {
	c.demote(now)
	if item := c.onTime.first(); item != nil {
		return item
	}
	return c.late.first()
}

// shareDue reports whether the class's oldest item has waited MinShareAfter and the minimum
// share has a free slot.
func (c *classQueue[T]) shareDue(now time.Time, slots int) bool {
	oldest := c.byArrival.first()
	if oldest == nil || c.MinShareAfter <= 0 {
		return false
	}
	if now.Sub(oldest.Arrived) < c.MinShareAfter {
		return false
	}
	return c.share.allows(now, c.minShare()*float64(slots))
}
