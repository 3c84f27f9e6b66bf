package rounds

import (
	"context"
	"time"
)

// Rounds is what is run and how often.
type Rounds struct {
	// First is the time until the first step, Interval that from one to the
	// next. A step that takes longer puts the next one off.
	First, Interval time.Duration
	// SweepEvery is the least time between two clean-ups.
	SweepEvery time.Duration
	// Step and Sweep are told the time at which they began.
	Step  func(ctx context.Context, now time.Time)
	Sweep func(now time.Time)
}

// Run returns when ctx ends, after the step under way.
func (r Rounds) Run(ctx context.Context) {
	timer := time.NewTimer(r.First)
	defer timer.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			timer.Reset(r.Interval)
			r.Step(ctx, now)
			if now.Sub(swept) > r.SweepEvery {
				swept = now
				r.Sweep(now)
			}
		}
	}
}
