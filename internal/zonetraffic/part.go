package zonetraffic

import (
	"math"
	"time"
)

const (
	// stepEvery is the time between two steps of a flow.
	stepEvery = 100 * time.Millisecond
	// waitAveragingTime is the averaging time of the zones' waits. Those of a zone's few replicas vary
	// by half within the time of a long prompt; with 0.4 s, parts moved at steady load.
	waitAveragingTime = time.Second
	// riseStep and fallStep are what a part changes in a step. It rises to 1 in 2 s: loads are up to
	// 0.4 s old, so faster steps overshoot.
	riseStep, fallStep = 0.05, 0.02
	// minBandMS and bandRatio are the width of the band of differences in which a part does not change:
	// an absolute one, and one relative to the cost of leaving.
	minBandMS, bandRatio = 10.0, 0.25
	// turnAfter is the shortest time between two changes of a part's direction, unless home costs more
	// by urgentMS, as in a burst. Even then a part turns at most twice in turnWindow.
	turnAfter  = 5 * time.Second
	turnWindow = 10 * time.Second
	urgentMS   = 150.0
)

// Reason says why a part changed.
type Reason string

// The reasons.
const (
	HomeCostsMore Reason = "home_costs_more"
	AwayCostsMore Reason = "away_costs_more"
	NoRoom        Reason = "no_room"
	StaleInput    Reason = "stale_input"
	NotAllowed    Reason = "forbidden"
)

// part is the part of a flow that may leave for one zone.
type part struct {
	share float64
	// direction is that of the last step, 1 or -1, and turnedAt when it last changed, the last time
	// first.
	direction float64
	turnedAt  [2]time.Time
	room      float64
	logged    float64
	loggedAt  time.Time
}

// step adjusts the part, which took the time since the last step. in has averaged waits. A difference
// within the band changes nothing, and a part does not turn soon after it has turned, so that a steady
// load does not move it back and forth. A zone without room is closed by Flow.HoldMS, not by the part.
func (p *part) step(now time.Time, maxShare float64, in *Input, z *Zone, elapsed time.Duration) Reason {
	p.room = z.Room(in.Home.WaitMS)
	switch {
	case math.IsInf(z.LeaveMS, 1):
		p.share = 0
		return NotAllowed
	case in.Age > MaxInputAge:
		p.share = 0
		return StaleInput
	}
	steps := elapsed.Seconds() / stepEvery.Seconds()
	band := max(minBandMS, bandRatio*z.LeaveMS)
	gap := in.Home.WaitMS - z.WaitMS - z.LeaveMS
	switch {
	case gap > band && p.room > 0 && p.share < maxShare && p.turn(now, 1, gap > urgentMS):
		p.share = min(p.share+riseStep*steps, maxShare)
	case gap < -band && p.share > 0 && p.turn(now, -1, false):
		p.share = max(p.share-fallStep*steps, 0)
	}
	switch {
	case p.room == 0:
		return NoRoom
	case gap > 0:
		return HomeCostsMore
	default:
		return AwayCostsMore
	}
}

// turn reports whether the part may move in the direction, and records it if so.
func (p *part) turn(now time.Time, direction float64, urgent bool) bool {
	if p.direction == direction {
		return true
	}
	if now.Sub(p.turnedAt[1]) <= turnWindow || now.Sub(p.turnedAt[0]) < turnAfter && !urgent {
		return false
	}
	p.direction, p.turnedAt = direction, [2]time.Time{now, p.turnedAt[0]}
	return true
}
