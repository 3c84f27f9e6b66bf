package rounds

import (
	"context"
	"time"
)

// Loop is what is run and how often.
type Loop struct {
	// InitialDelay is the time until the first step, Interval that from one to the
	// next. A step that takes longer puts the next one off.
	InitialDelay, Interval time.Duration
	// SweepInterval is the least time between two clean-ups.
	SweepInterval time.Duration
	// Step and Sweep are told the time at which they began.
	Step  func(ctx context.Context, now time.Time)
	Sweep func(now time.Time)
}

// Run returns when ctx ends, after the step under way.
func (r Loop) Run(ctx context.Context) {
	timer := time.NewTimer(r.InitialDelay)
	defer timer.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			timer.Reset(r.Interval)
			r.Step(ctx, now)
			if now.Sub(swept) > r.SweepInterval {
				swept = now
				r.Sweep(now)
			}
		}
	}
}
