package quota

import "time"

// bucket is a token bucket of the given capacity that refills at rate units per
// second. The level may be negative after a request larger than the
// capacity or one that used more than estimated.
type bucket struct {
	rate       float64
	capacity   float64
	level      float64
	refilledAt time.Time
}

// setRate changes the rate and sets the capacity to rate times burst seconds. The
// bucket stays filled to the same fraction.
func (b *bucket) setRate(now time.Time, rate, burst float64) {
	b.refill(now)
	part := 1.0
	if b.capacity > 0 {
		part = b.level / b.capacity
	}
	b.rate = rate
	b.capacity = max(rate*burst, 1)
	b.level = part * b.capacity
	b.refilledAt = now
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level = min(b.level+b.rate*elapsed.Seconds(), b.capacity)
		b.refilledAt = now
	}
}

// wait returns the time until n units are available. A request larger than the
// capacity waits for a full bucket. A rate of zero means no limit.
func (b *bucket) wait(now time.Time, n float64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	missing := min(n, b.capacity) - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// take removes n units; the level may become negative. A negative n returns
// units.
func (b *bucket) take(n float64) {
	if b.rate > 0 {
		b.level = min(b.level-n, b.capacity)
	}
}
