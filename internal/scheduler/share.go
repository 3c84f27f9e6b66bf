package scheduler

import "time"

// share keeps a class's use of its minimum share within its part of the slots.
type share struct {
	running int
	// blockedUntil is when the share may be used again where it is worth
	// less than one slot: the use is then spread over time.
	blockedUntil time.Time
}

// allows says whether one more item may run by the share.
func (s *share) allows(now time.Time, slots float64) bool {
	if slots < 1 {
		return s.running == 0 && !now.Before(s.blockedUntil)
	}
	return s.running < int(slots)
}

// ended takes back a slot that was held for the given time.
func (s *share) ended(now time.Time, held time.Duration, slots float64) {
	s.running--
	if slots >= 1 || slots <= 0 {
		return
	}
	pause := time.Duration(float64(held) * (1/slots - 1))
	s.blockedUntil = now.Add(min(pause, maxPause))
}

// maxPause bounds the pause, so that a class is served even where its share is
// worth next to nothing.
const maxPause = 10 * time.Minute
