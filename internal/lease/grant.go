package lease

import (
	"time"

	"galenatrestle/internal/platform"
)

// EndReason says why a term ended.
type EndReason string

// The reasons.
const (
	// EndLapsed: no renewal was answered in time.
	EndLapsed EndReason = "lapsed"
	// EndPaused: this process did not run for longer than PauseBound.
	EndPaused EndReason = "paused"
	// EndTaken: the platform says that the lease is lost.
	EndTaken EndReason = "taken"
	// EndReleased: it was given up.
	EndReleased EndReason = "released"
)

// grant is what this process knows of a lease, decided purely on the times it
// is told. Once ended it stays ended.
type grant struct {
	lease platform.Lease
	// asked is when the newest answered call was sent: the platform can't have
	// counted TTL from an earlier moment.
	asked time.Time
	// looked is the newest look at the clock.
	looked time.Time
	end    EndReason
}

// newGrant returns the grant of a call sent at asked and answered at now.
func newGrant(s Settings, lease platform.Lease, asked, now time.Time) grant {
	g := grant{lease: lease, asked: asked, looked: now}
	g.look(s, now)
	return g
}

// look notes a look at the clock and tells whether the lease may be acted on.
func (g *grant) look(s Settings, now time.Time) bool {
	switch {
	case g.end != "":
	case elapsed(g.looked, now) > s.PauseBound:
		g.end = EndPaused
	case elapsed(g.asked, now) >= s.usable():
		g.end = EndLapsed
	}
	g.looked = now
	return g.end == ""
}

// renewed notes the answer to a renewal sent at asked.
func (g *grant) renewed(asked time.Time) {
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

// left is the time until the grant ends by itself.
func (g *grant) left(s Settings, now time.Time) time.Duration {
	return s.usable() - elapsed(g.asked, now)
}

// elapsed is the time between two looks: the monotonic clock's, or the wall
// clock's where that is longer, since the monotonic one may stand still while
// a machine is suspended. A wall clock that is set forward ends a term early,
// which is harmless.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
