package concurrency

import "time"

// generation is how long a least value counts as the present one; it counts
// for as long again as the one before.
const generation = 5 * time.Minute

// LatencyFloor keeps the least average time between tokens of the last minutes: what
// the replica takes when it is almost idle.
type LatencyFloor struct {
	current  float64
	previous float64
	began    time.Time
}

// Observe takes in a window's average in seconds.
func (f *LatencyFloor) Observe(now time.Time, average float64) {
	if now.Sub(f.began) >= generation {
		f.previous = f.current
		f.current = average
		f.began = now
		return
	}
	f.current = min(f.current, average)
}

// Value returns the least average in seconds, zero while there is none.
func (f *LatencyFloor) Value() float64 {
	if f.previous > 0 {
		return min(f.previous, f.current)
	}
	return f.current
}
