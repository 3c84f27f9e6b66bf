package order

import (
	"time"

	"galenatrestle/internal/platform"
)

// Grant is the right to order, as one process knows it. Its times must carry
// the monotonic clock of this process. It is a value: the zero Grant permits
// nothing.
type Grant struct {
	// Epoch is the lease's epoch, sent as the fencing number.
	Epoch int64
	// Since is when the first grant at this epoch was known here.
	Since time.Time
	// Asked is when the newest acquire or renewal was sent: the platform can't
	// have granted it earlier.
	Asked time.Time
	// LastHeartbeat is when the holder last looked at the clock.
	LastHeartbeat time.Time
	// Paused says that a pause was detected since the newest renewal.
	Paused bool
}

// Renewed returns the grant after an acquire or a renewal that was asked for
// at asked and answered at now.
func (g Grant) Renewed(lease platform.Lease, asked, now time.Time) Grant {
	next := Grant{Epoch: lease.Epoch, Since: now, Asked: asked, LastHeartbeat: now}
	if lease.Epoch == g.Epoch {
		next.Since = g.Since
	}
	return next
}

// WithHeartbeat notes a look at the clock; a long gap since the last one is a pause.
func (g Grant) WithHeartbeat(d LeaseTiming, now time.Time) Grant {
	if now.Sub(g.LastHeartbeat) > d.DetectPause {
		g.Paused = true
	}
	g.LastHeartbeat = now
	return g
}

// Check returns nil where an order may leave at now, else a *HoldError.
func (g Grant) Check(d LeaseTiming, honoursFencing bool, now time.Time) error {
	if g.Epoch == 0 {
		return &HoldError{Reason: ReasonNoLease}
	}
	end := g.Asked.Add(d.LeaseTTL - d.StopMargin)
	if !now.Before(end) {
		return &HoldError{Reason: ReasonLeaseEnding}
	}
	if g.Paused || now.Sub(g.LastHeartbeat) > d.DetectPause {
		return &HoldError{Reason: ReasonPaused}
	}
	if honoursFencing {
		return nil
	}
	first := g.Since.Add(d.handOverWait())
	if now.Before(first) {
		return &HoldError{Reason: ReasonHandOver, For: first.Sub(now)}
	}
	return nil
}
