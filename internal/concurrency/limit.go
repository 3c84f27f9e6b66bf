package concurrency

import "time"

const (
	// window is how long token times are averaged before the limit moves.
	window = time.Second
	// minSamples is the fewest token times that make an average.
	minSamples = 8
	// tolerance is how far above the reference the time between tokens may
	// be before the limit shrinks.
	tolerance = 1.2
	// steepest is the least factor of one step.
	steepest = 0.8
	// quickEnough is an average, in seconds, that never shrinks a limit: at
	// such a pace the caller gains nothing, and the node's own delays tell
	// more than the replica's load.
	quickEnough = 0.010
	// growth is the slots by which a used-up limit grows in a window. It is
	// the same for all, while shrinking is by a factor: so the limits of
	// several nodes at one replica draw near each other.
	growth = 0.1
	// urgentGrowth takes its place where requests of the highest tier wait,
	// so that nodes with more of them get more of the replica.
	urgentGrowth = 0.3
	// regrowth is the factor of a window while a limit that was shrunk at
	// once comes back.
	regrowth = 1.2
)

// Limit is the learned limit of one replica.
type Limit struct {
	limit  float64
	most   float64
	offset float64
	// before is the limit before it was shrunk at once, else zero.
	before  float64
	started time.Time
	sum     float64
	samples int
	// used says that the limit was reached within the window.
	used bool
	// urgent says that requests of the highest tier waited in it.
	urgent bool
}

// NewLimit returns a limit that starts at slots, which is also the most that it
// grows to. The limit is a fraction: offset, from 0 up to but without 1, is
// added before it is rounded down, so that limits with different offsets sum up
// to about the sum of the fractions.
func NewLimit(slots int, offset float64) *Limit {
	return &Limit{limit: float64(slots), most: float64(slots), offset: offset}
}

// Value returns the limit; it is at least 1.
func (l *Limit) Value() int { return int(l.limit + l.offset) }

// RecordUsage notes how many requests run, to tell whether the limit is used up, and
// whether requests of the highest tier wait.
func (l *Limit) RecordUsage(running int, urgent bool) {
	if running >= l.Value() {
		l.used = true
	}
	l.urgent = l.urgent || urgent
}

// Observe takes in a time between tokens, in seconds, and the reference: what
// an idle replica of this upstream takes. It returns the window's average when
// one ends, else zero.
func (l *Limit) Observe(now time.Time, seconds, reference float64) float64 {
	if l.started.IsZero() {
		l.started = now
	}
	l.sum += seconds
	l.samples++
	if now.Sub(l.started) < window || l.samples < minSamples {
		return 0
	}
	average := l.sum / float64(l.samples)
	l.step(average, reference)
	l.started, l.sum, l.samples, l.used, l.urgent = now, 0, 0, false, false
	return average
}

func (l *Limit) step(average, reference float64) {
	if reference <= 0 {
		return
	}
	gradient := 1.0
	if average > quickEnough {
		gradient = min(max(tolerance*reference/average, steepest), 1)
	}
	next := l.limit * gradient
	if gradient < 1 {
		l.before = 0
	}
	if l.used {
		next += l.grow()
	}
	l.limit = min(max(next, 1), l.most)
}

func (l *Limit) grow() float64 {
	if l.limit < l.before {
		return (regrowth - 1) * l.limit
	}
	if l.urgent {
		return urgentGrowth
	}
	return growth
}

// ShrinkToOne sets the limit to 1 at once, for a straggler. Once the replica is fast
// again the limit comes back quickly.
func (l *Limit) ShrinkToOne() {
	l.before = max(l.before, l.limit)
	l.limit = 1
}
