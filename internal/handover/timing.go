package handover

import "time"

// Timing holds the times of a move.
type Timing struct {
	// Term is how long a permit lasts at an armed node, from when it asked.
	Term time.Duration
	// ClockError is the most by which two clocks that measure Term differ.
	ClockError time.Duration
	// Resend is how often an unanswered message or call is sent again.
	Resend time.Duration
}

// DefaultTiming returns the times for data centres tens of milliseconds apart.
func DefaultTiming() Timing {
	return Timing{Term: 4 * time.Second, ClockError: 200 * time.Millisecond, Resend: 250 * time.Millisecond}
}

// quietAfter is how long after the last permit no node can have one.
func (t Timing) quietAfter() time.Duration { return t.Term + t.ClockError }
