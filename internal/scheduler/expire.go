package scheduler

import "time"

// PopExpired takes out an item that is no longer of use at now, or returns nil.
func (q *Queue[T]) PopExpired(now time.Time) *Item[T] {
	for _, c := range q.classes {
		item := c.byUseless.first()
		if item != nil && !item.ExpiresAt.After(now) {
			q.Remove(item)
			return item
		}
	}
	return nil
}

// MinLatestStart returns the earliest latest start of the class's waiting items, of the
// late ones that of the oldest; zero: none waits.
func (q *Queue[T]) MinLatestStart(class string) time.Time {
	var earliest time.Time
	c, ok := q.byName[class]
	if !ok {
		return earliest
	}
	for _, item := range []*Item[T]{c.byLatest.first(), c.byArrival.first()} {
		if item != nil && (earliest.IsZero() || item.LatestStart.Before(earliest)) {
			earliest = item.LatestStart
		}
	}
	return earliest
}

// NextExpiry returns when the next item stops to be of use; zero: none waits.
func (q *Queue[T]) NextExpiry() time.Time {
	var next time.Time
	for _, c := range q.classes {
		item := c.byUseless.first()
		if item != nil && (next.IsZero() || item.ExpiresAt.Before(next)) {
			next = item.ExpiresAt
		}
	}
	return next
}

// Shed takes out an item of the lowest tier below tier, or returns nil where
// none waits below it. Within the class the one closest to its end goes.
func (q *Queue[T]) Shed(tier int) *Item[T] {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.Tier <= tier {
			return nil
		}
		if item := c.byUseless.first(); item != nil {
			q.Remove(item)
			return item
		}
	}
	return nil
}
