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
	// sentAt is when the newest successful call was sent: the platform can't have
	// started TTL earlier.
	sentAt time.Time
	// checkedAt is the time of the newest check.
	checkedAt time.Time
	endReason EndReason
}

// newGrant returns the grant of a call sent at sentAt and answered at now.
func newGrant(s Settings, lease platform.Lease, sentAt, now time.Time) grant {
	g := grant{lease: lease, sentAt: sentAt, checkedAt: now}
	g.check(s, now)
	return g
}

// check records a reading of the clock and reports whether the lease may be
// acted on.
func (g *grant) check(s Settings, now time.Time) bool {
	switch {
	case g.endReason != "":
	case elapsed(g.checkedAt, now) > s.PauseBound:
		g.endReason = EndPaused
	case elapsed(g.sentAt, now) >= s.usable():
		g.endReason = EndLapsed
	}
	g.checkedAt = now
	return g.endReason == ""
}

// extend records a successful renewal that was sent at sentAt.
func (g *grant) extend(sentAt time.Time) {
	if sentAt.After(g.sentAt) {
		g.sentAt = sentAt
	}
}

// finish ends the grant, unless it has ended.
func (g *grant) finish(reason EndReason) {
	if g.endReason == "" {
		g.endReason = reason
	}
}

// remaining returns the time until the grant ends without a renewal.
func (g *grant) remaining(s Settings, now time.Time) time.Duration {
	return s.usable() - elapsed(g.sentAt, now)
}

// elapsed returns the longer of the monotonic and the wall clock's difference,
// since the monotonic clock may stop while a machine is suspended. A wall clock
// that is set forward ends a term early, which is safe.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
