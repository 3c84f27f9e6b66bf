package scheduler

import "time"

// shareLimiter limits a class's minimum-share slots to its fraction of all slots.
type shareLimiter struct {
	running int
	// blockedUntil spreads the use of a share of less than one slot over time.
	blockedUntil time.Time
}

// allows reports whether one more item may start under a share of shareSlots slots,
// which may be fractional.
func (s *shareLimiter) allows(now time.Time, shareSlots float64) bool {
	if shareSlots < 1 {
		return s.running == 0 && !now.Before(s.blockedUntil)
	}
	return s.running < int(shareSlots)
}

// release frees a slot that was occupied for held. It then blocks a share of less than one
// slot until its average use equals the share, but at most for maxPause.
func (s *shareLimiter) release(now time.Time, held time.Duration, shareSlots float64) {
	s.running--
	if shareSlots >= 1 || shareSlots <= 0 {
		return
	}
	pause := time.Duration(float64(held) * (1/shareSlots - 1))
	s.blockedUntil = now.Add(min(pause, maxPause))
}

// maxPause bounds the time a share is blocked, so that a class with a tiny share is still served.
const maxPause = 10 * time.Minute
