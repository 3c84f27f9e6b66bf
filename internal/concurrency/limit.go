package concurrency

import "time"

const (
	// sampleWindow is the minimum time between two adjustments.
	sampleWindow = time.Second
	// minSamples is the fewest token times that make an average.
	minSamples = 8
	// tolerance is the ratio of the average to the idle token time above which the limit shrinks.
	tolerance = 1.2
	// minGradient is the smallest factor of one adjustment.
	minGradient = 0.8
	// Up to minShrinkLatency seconds per token the limit never shrinks: the node's own delays
	// dominate the samples.
	minShrinkLatency = 0.010
	// growthStep is in slots per window. Additive increase and multiplicative decrease make
	// the limits of several nodes at one replica converge.
	growthStep = 0.1
	// highestTierGrowthStep applies while requests of the highest tier wait, so that nodes with
	// more of them get more of the replica.
	highestTierGrowthStep = 0.3
	// recoveryFactor is the growth factor per window while the limit recovers from
	// ShrinkToOne.
	recoveryFactor = 1.2
)

// Limit is the adaptive concurrency limit of one replica.
type Limit struct {
	limit          float64
	maxLimit       float64
	roundingOffset float64
	// recoverTo is the limit before ShrinkToOne, or zero.
	recoverTo   float64
	windowStart time.Time
	sum         float64
	samples     int
	// saturated is set if the limit was reached in the window.
	saturated        bool
	highestTierWaits bool
}

// NewLimit returns a limit that starts at slots, its maximum. roundingOffset, in [0, 1), is
// added before the fractional limit is rounded down. It should differ between nodes, so that not
// all of them round the limit of the same replica down.
func NewLimit(slots int, roundingOffset float64) *Limit {
	return &Limit{limit: float64(slots), maxLimit: float64(slots), roundingOffset: roundingOffset}
}

// Value returns the limit; it is at least 1.
func (l *Limit) Value() int { return int(l.limit + l.roundingOffset) }

// RecordUsage records how many requests are running and whether requests of the highest tier
// are waiting.
func (l *Limit) RecordUsage(running int, highestTierWaits bool) {
	if running >= l.Value() {
		l.saturated = true
	}
	l.highestTierWaits = l.highestTierWaits || highestTierWaits
}

// Observe records a time between tokens, in seconds; idleTokenTime is that of an idle replica
// of this upstream, or zero if unknown. When a window ends, it adjusts the limit and returns the
// window's average; otherwise it returns zero.
func (l *Limit) Observe(now time.Time, seconds, idleTokenTime float64) float64 {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.sum += seconds
	l.samples++
	if now.Sub(l.windowStart) < sampleWindow || l.samples < minSamples {
		return 0
	}
	average := l.sum / float64(l.samples)
	l.adjust(average, idleTokenTime)
	l.windowStart, l.sum, l.samples, l.saturated, l.highestTierWaits = now, 0, 0, false, false
	return average
}

func (l *Limit) adjust(average, idleTokenTime float64) {
	if idleTokenTime <= 0 {
		return
	}
	gradient := 1.0
	if average > minShrinkLatency {
		gradient = min(max(tolerance*idleTokenTime/average, minGradient), 1)
	}
	next := l.limit * gradient
	if gradient < 1 {
		l.recoverTo = 0
	}
	if l.saturated {
		next += l.increase()
	}
	l.limit = min(max(next, 1), l.maxLimit)
}

func (l *Limit) increase() float64 {
	if l.limit < l.recoverTo {
		return (recoveryFactor - 1) * l.limit
	}
	if l.highestTierWaits {
		return highestTierGrowthStep
	}
	return growthStep
}

// ShrinkToOne sets the limit of a slow replica to 1, from which it recovers quickly.
func (l *Limit) ShrinkToOne() {
	l.recoverTo = max(l.recoverTo, l.limit)
	l.limit = 1
}
