package scheduler

import "time"

// shareLimiter limits a class's minimum-share slots to its fraction of all slots.
type shareLimiter struct {
	running int
	// blockedUntil spreads the use of a share of less than one slot over time.
	blockedUntil time.Time
}

// allows reports whether one more item may start under a share of slots.
func (s *shareLimiter) allows(now time.Time, slots float64) bool {
	if slots < 1 {
		return s.running == 0 && !now.Before(s.blockedUntil)
	}
	return s.running < int(slots)
}

func (s *shareLimiter) release(now time.Time, held time.Duration, slots float64) {
	s.running--
	if slots >= 1 || slots <= 0 {
		return
	}
	pause := time.Duration(float64(held) * (1/slots - 1))
	s.blockedUntil = now.Add(min(pause, maxPause))
}

// maxPause bounds the time a share is blocked, so that a class with a tiny share is still served.
const maxPause = 10 * time.Minute
