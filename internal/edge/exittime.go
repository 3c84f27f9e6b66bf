package edge

import "time"

const (
	// maxStopFraction is the part of the grace time after which the process exits at the latest.
	maxStopFraction = 0.92
	// minMaxStopFraction is the same where the machine is overloaded.
	minMaxStopFraction = 0.75
	// exitSteps is how many times a poll's delay is kept for what happens before and after the
	// polls: the signal is taken, the tasks end, the process exits.
	exitSteps = 5
)

// exitTime decides when a stopping process exits at the latest. On an overloaded machine each
// step of the exit is late, and a process that is still there after the grace time is killed.
type exitTime struct {
	grace    time.Duration
	lastPoll time.Time
	// longest and second are the longest delays of a poll. A process that was paused once has one
	// long delay, so the second counts.
	longest, second time.Duration
}

// observe notes a poll that was due one interval after the last one.
func (e *exitTime) observe(now time.Time, interval time.Duration) {
	delay := now.Sub(e.lastPoll) - interval
	e.lastPoll = now
	if delay > e.longest {
		delay, e.longest = e.longest, delay
	}
	e.second = max(e.second, delay)
}

// latest returns the time from the stop signal to the exit.
func (e *exitTime) latest() time.Duration {
	return max(fraction(e.grace, maxStopFraction)-exitSteps*e.second, fraction(e.grace, minMaxStopFraction))
}
