package concurrency

import "time"

// The floor is the minimum of the current and the previous floorPeriod.
const floorPeriod = 5 * time.Minute

// LatencyFloor is the recent minimum of the average time between tokens, which approximates
// that of an idle replica.
type LatencyFloor struct {
	current   float64
	previous  float64
	startedAt time.Time
}

// Observe records the average of a window, in seconds.
func (f *LatencyFloor) Observe(now time.Time, average float64) {
	if now.Sub(f.startedAt) >= floorPeriod {
		f.previous = f.current
		f.current = average
		f.startedAt = now
		return
	}
	f.current = min(f.current, average)
}

// Value returns the minimum in seconds, or zero without samples.
func (f *LatencyFloor) Value() float64 {
	if f.previous > 0 {
		return min(f.previous, f.current)
	}
	return f.current
}
