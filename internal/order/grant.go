package order

import (
	"time"

	"galenatrestle/internal/platform"
)

// Grant is this process's view of the lease that permits orders. Its times must carry the
// monotonic clock reading of this process. The zero Grant permits nothing.
type Grant struct {
	// Epoch is the lease epoch, sent as the fencing token.
	Epoch int64
	// Since is when this process learned of the first grant at this epoch.
	Since time.Time
	// Asked is when the latest acquire or renewal was sent. The platform can't have granted
	// it earlier.
	Asked time.Time
	// LastHeartbeat is the time of the latest renewal or heartbeat.
	LastHeartbeat time.Time
	// Paused is set if a process pause was detected since the latest renewal.
	Paused bool
}

// Renewed returns the grant after an acquire or renewal that was sent at asked and answered
// at now.
func (g Grant) Renewed(lease platform.Lease, asked, now time.Time) Grant {
	next := Grant{Epoch: lease.Epoch, Since: now, Asked: asked, LastHeartbeat: now}
	if lease.Epoch == g.Epoch {
		next.Since = g.Since
	}
	return next
}

// WithHeartbeat returns the grant after a heartbeat at now. A gap above DetectPause marks it
// as paused.
func (g Grant) WithHeartbeat(timing LeaseTiming, now time.Time) Grant {
	if now.Sub(g.LastHeartbeat) > timing.DetectPause {
		g.Paused = true
	}
	g.LastHeartbeat = now
	return g
}

// Check returns nil if an order may be sent at now, else a *HoldError.
func (g Grant) Check(timing LeaseTiming, honoursFencing bool, now time.Time) error {
	if g.Epoch == 0 {
		return &HoldError{Reason: ReasonNoLease}
	}
	end := g.Asked.Add(timing.LeaseTTL - timing.StopMargin)
	if !now.Before(end) {
		return &HoldError{Reason: ReasonLeaseEnding}
	}
	if g.Paused || now.Sub(g.LastHeartbeat) > timing.DetectPause {
		return &HoldError{Reason: ReasonPaused}
	}
	if honoursFencing {
		return nil
	}
	first := g.Since.Add(timing.handOverWait())
	if now.Before(first) {
		return &HoldError{Reason: ReasonHandOver, For: first.Sub(now)}
	}
	return nil
}
