package rounds

import (
	"context"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
)

func TestStepsAndSweepsRunAtTheirIntervals(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		began := time.Now()
		var steps, sweeps []time.Duration
		ctx, cancel := context.WithTimeout(t.Context(), 1050*time.Millisecond)
		defer cancel()
		Loop{
			InitialDelay: 30 * time.Millisecond, Interval: 100 * time.Millisecond, SweepInterval: 400 * time.Millisecond,
			Step:  func(_ context.Context, now time.Time) { steps = append(steps, now.Sub(began)) },
			Sweep: func(now time.Time) { sweeps = append(sweeps, now.Sub(began)) },
		}.Run(ctx)
		if len(steps) != 11 || steps[0] != 30*time.Millisecond || steps[10] != 1030*time.Millisecond {
			t.Errorf("steps after %v", steps)
		}
		if len(sweeps) != 2 || sweeps[0] != 430*time.Millisecond || sweeps[1] != 930*time.Millisecond {
			t.Errorf("sweeps after %v", sweeps)
		}
		if ended := time.Since(began); ended != 1050*time.Millisecond {
			t.Errorf("ended after %v", ended)
		}
	})
}
