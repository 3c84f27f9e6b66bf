package lease

import (
	"time"

	"galenatrestle/internal/platform"
)

// EndReason says why a term ended.
type EndReason string

// The reasons.
const (
	// EndLapsed: no renewal succeeded in time.
	EndLapsed EndReason = "lapsed"
	// EndPaused: this process did not run for longer than PauseBound.
	EndPaused EndReason = "paused"
	// EndTaken: the platform reports that the lease is lost.
	EndTaken EndReason = "taken"
	// EndReleased: this process released the lease.
	EndReleased EndReason = "released"
)

// grant is the local state of a lease. It reads no clock: all times are
// arguments. A grant that has ended stays ended.
type grant struct {
	lease platform.Lease
	// asked is when the newest successful call was sent: the platform can't have
	// counted TTL from an earlier moment.
	asked time.Time
	// checkedAt is the time of the newest check.
	checkedAt time.Time
	end       EndReason
}

// newGrant returns the grant of a call sent at asked and answered at now.
func newGrant(s Settings, lease platform.Lease, asked, now time.Time) grant {
	g := grant{lease: lease, asked: asked, checkedAt: now}
	g.check(s, now)
	return g
}

// check records a reading of the clock and reports whether the lease may be
// acted on.
func (g *grant) check(s Settings, now time.Time) bool {
	switch {
	case g.end != "":
	case elapsed(g.checkedAt, now) > s.PauseBound:
		g.end = EndPaused
	case elapsed(g.asked, now) >= s.usable():
		g.end = EndLapsed
	}
	g.checkedAt = now
	return g.end == ""
}

// extend records a successful renewal that was sent at asked.
func (g *grant) extend(asked time.Time) {
	if asked.After(g.asked) {
		g.asked = asked
	}
}

// finish ends the grant, unless it has ended.
func (g *grant) finish(reason EndReason) {
	if g.end == "" {
		g.end = reason
	}
}

// remaining returns the time until the grant ends without a renewal.
func (g *grant) remaining(s Settings, now time.Time) time.Duration {
	return s.usable() - elapsed(g.asked, now)
}

// elapsed returns the longer of the monotonic and the wall clock's difference,
// since the monotonic clock may stop while a machine is suspended. A wall clock
// that is set forward ends a term early, which is safe.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
