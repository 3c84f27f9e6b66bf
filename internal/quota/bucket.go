package quota

import "time"

// bucket holds up to most units and gains rate units a second. It may be in
// debt after a correction.
type bucket struct {
	rate  float64
	most  float64
	level float64
	at    time.Time
}

// set changes the rate, keeping the part of the bucket that is full.
func (b *bucket) set(now time.Time, rate, burst float64) {
	b.refill(now)
	part := 1.0
	if b.most > 0 {
		part = b.level / b.most
	}
	b.rate = rate
	b.most = max(rate*burst, 1)
	b.level = part * b.most
	b.at = now
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.level+b.rate*elapsed.Seconds(), b.most)
		b.at = now
	}
}

// wait returns how long until n units may be taken; a use larger than the whole
// bucket needs a full one. A rate of zero is no bound.
func (b *bucket) wait(now time.Time, n float64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	missing := min(n, b.most) - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// take takes n units, also into debt; a negative n gives back.
func (b *bucket) take(n float64) {
	if b.rate > 0 {
		b.level = min(b.level-n, b.most)
	}
}
