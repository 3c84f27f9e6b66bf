package rounds

import (
	"context"
	"time"
)

// Loop runs a step and a clean-up periodically.
type Loop struct {
	// InitialDelay is the time until the first step, Interval the time between steps. A
	// step that takes longer than Interval delays the next one.
	InitialDelay, Interval time.Duration
	// SweepInterval is the minimum time between two clean-ups.
	SweepInterval time.Duration
	// Step and Sweep receive the start time of the step.
	Step  func(ctx context.Context, now time.Time)
	Sweep func(now time.Time)
}

// Run blocks until ctx is done and the current step has returned.
func (l Loop) Run(ctx context.Context) {
	timer := time.NewTimer(l.InitialDelay)
	defer timer.Stop()
	lastSweep := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			timer.Reset(l.Interval)
			l.Step(ctx, now)
			if now.Sub(lastSweep) > l.SweepInterval {
				lastSweep = now
				l.Sweep(now)
			}
		}
	}
}
