package scheduler

import "time"

// classQueue holds one class's waiting items.
type classQueue[T any] struct {
	Class
	// onTime items can still meet their target; late ones cannot, and run
	// only where none of their tier can.
	onTime *band[T]
	late   *band[T]
	// The items by Arrived, by Latest and by Useless.
	byArrival lazyHeap[T]
	byLatest  lazyHeap[T]
	byUseless lazyHeap[T]
	share     share
}

func newClassQueue[T any](class Class) *classQueue[T] {
	return &classQueue[T]{
		Class: class, onTime: newBand[T](onTime), late: newBand[T](late),
		byArrival: lazyHeap[T]{anyState: true},
		byUseless: lazyHeap[T]{anyState: true},
	}
}

// tierClocks are the clocks of a tier's bands, so that the start tags of all its
// classes can be compared.
type tierClocks struct {
	onTime, late clock
}

func (c *classQueue[T]) setClocks(clocks *tierClocks) {
	c.onTime.clock = &clocks.onTime
	c.late.clock = &clocks.late
}

func (c *classQueue[T]) len() int { return c.onTime.live + c.late.live }

func (c *classQueue[T]) push(now time.Time, item *Item[T]) {
	item.class = c
	live := c.len() + 1
	if item.LatestStart.Before(now) {
		c.late.push(item, item.Arrived.UnixNano())
	} else {
		c.onTime.push(item, item.LatestStart.UnixNano())
		c.byLatest.add(item, item.LatestStart.UnixNano(), c.onTime.live)
	}
	c.byArrival.add(item, item.Arrived.UnixNano(), live)
	c.byUseless.add(item, item.ExpiresAt.UnixNano(), live)
}

// demote moves the items that can no longer meet their target.
func (c *classQueue[T]) demote(now time.Time) {
	for item := c.byLatest.first(); item != nil && item.LatestStart.Before(now); item = c.byLatest.first() {
		c.onTime.remove(item)
		c.late.push(item, item.Arrived.UnixNano())
	}
}

func (c *classQueue[T]) band(item *Item[T]) *band[T] {
	if item.state == onTime {
		return c.onTime
	}
	return c.late
}

// first returns the class's next item, or nil.
func (c *classQueue[T]) first(now time.Time) *Item[T] {
	c.demote(now)
	if item := c.onTime.first(); item != nil {
		return item
	}
	return c.late.first()
}

// shareDue says whether the class's oldest item has waited so long that the
// minimum share is due, and whether the share has room.
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
