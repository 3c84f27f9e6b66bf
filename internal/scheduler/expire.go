package scheduler

import "time"

// PopExpired removes and returns an item that has expired at now, or returns nil.
func (q *Queue[T]) PopExpired(now time.Time) *Item[T] {
	for _, c := range q.classes {
		item := c.byExpiry.first()
		if item != nil && !item.ExpiresAt.After(now) {
			q.Remove(item)
			return item
		}
	}
	return nil
}

// MinLatestStart returns the earliest LatestStart of the class's queued items, or the zero
// time if there are none. Of the late items only the oldest is considered.
func (q *Queue[T]) MinLatestStart(class string) time.Time {
	var earliest time.Time
	c, ok := q.byName[class]
	if !ok {
		return earliest
	}
	for _, item := range []*Item[T]{c.byLatestStart.first(), c.byArrival.first()} {
		if item != nil && (earliest.IsZero() || item.LatestStart.Before(earliest)) {
			earliest = item.LatestStart
		}
	}
	return earliest
}

// NextExpiry returns when the next item expires, or the zero time if the queue is empty.
func (q *Queue[T]) NextExpiry() time.Time {
	var next time.Time
	for _, c := range q.classes {
		item := c.byExpiry.first()
		if item != nil && (next.IsZero() || item.ExpiresAt.Before(next)) {
			next = item.ExpiresAt
		}
	}
	return next
}

// Shed removes and returns an item of the lowest-priority tier that has queued items and is below
// the given tier, or returns nil. Within a class the item that expires first is removed.
func (q *Queue[T]) Shed(tier int) *Item[T] {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.Tier <= tier {
			return nil
		}
		if item := c.byExpiry.first(); item != nil {
			q.Remove(item)
			return item
		}
	}
	return nil
}
