package budget

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
)

// gate is a duty's bucket and its counters.
type gate struct {
	config   Config
	limiter  *rate.Limiter
	counters *Counters
}

// newGate returns a full bucket.
func newGate(config Config, counters *Counters) *gate {
	return &gate{
		config:   config,
		limiter:  rate.NewLimiter(config.PerSecond, config.Burst),
		counters: counters,
	}
}

// pass takes a call from the budget, does it and counts its result.
func (g *gate) pass(ctx context.Context, call platform.Call, do func() error) error {
	if err := g.take(ctx); err != nil {
		g.counters.count(g.config.Duty, call, resultOverBudget)
		return errs.Wrap(errs.Platform, err, string(call), "budget of "+g.config.Duty)
	}
	err := do()
	g.counters.count(g.config.Duty, call, resultOf(err))
	return err
}

// take waits for the call's turn. It returns platform.ErrRateLimited where the
// turn comes too late, and the context's end: nothing was sent in either case.
func (g *gate) take(ctx context.Context) error {
	now := time.Now()
	turn := g.limiter.ReserveN(now, 1)
	if !turn.OK() {
		return platform.ErrRateLimited
	}
	delay := turn.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	if delay > g.patience(ctx, now) {
		turn.CancelAt(now)
		return platform.ErrRateLimited
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		turn.Cancel()
		return platform.ErrRateLimited
	}
}

// patience is how long the call may wait.
func (g *gate) patience(ctx context.Context, now time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return g.config.MaxWait
	}
	return min(g.config.MaxWait, deadline.Sub(now))
}
