package zonetraffic

import (
	"math"
	"time"
)

const (
	// stepEvery is the time between two steps of a flow.
	stepEvery = 100 * time.Millisecond
	// gapAveragingTime is the averaging time of the difference of costs: about the age of the loads.
	gapAveragingTime = 400 * time.Millisecond
	// riseStep and fallStep are what a part changes in a step. It rises to 1 in 2 s: loads are up to
	// 0.4 s old, so faster steps overshoot.
	riseStep, fallStep = 0.05, 0.02
	// minBandMS and bandRatio are the width of the band of differences in which a part does not change:
	// an absolute one, and one relative to the cost of leaving.
	minBandMS, bandRatio = 10.0, 0.25
	// fallAfter is how long leaving must have cost more than staying before a part falls.
	fallAfter = 2 * time.Second
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
	// gapMS is the averaged amount by which home costs more than the other zone and leaving.
	gapMS float64
	known bool
	// cheaperHomeFor is how long home has cost less.
	cheaperHomeFor time.Duration
	room           float64
	logged         float64
	loggedAt       time.Time
}

// step adjusts the part. A difference within the band changes nothing, and the part falls only after
// home has cost less for a while, so that a steady load does not move it back and forth.
func (p *part) step(in *Input, z *Zone, elapsed time.Duration) Reason {
	p.room = z.Room(in.Home.WaitMS)
	switch {
	case math.IsInf(z.LeaveMS, 1):
		p.share, p.known = 0, false
		return NotAllowed
	case in.Age > MaxInputAge:
		p.share, p.known = 0, false
		return StaleInput
	}
	gap := in.Home.WaitMS - z.WaitMS - z.LeaveMS
	if !p.known {
		p.gapMS, p.known = 0, true
	}
	decay := math.Exp(-elapsed.Seconds() / gapAveragingTime.Seconds())
	p.gapMS = decay*p.gapMS + (1-decay)*gap
	steps := min(elapsed.Seconds()/stepEvery.Seconds(), 2)
	band := max(minBandMS, bandRatio*z.LeaveMS)
	if p.gapMS < -band {
		p.cheaperHomeFor += elapsed
	} else {
		p.cheaperHomeFor = 0
	}
	switch {
	case p.room == 0:
		p.share = max(p.share-riseStep*steps, 0)
		return NoRoom
	case p.gapMS > band:
		p.share = min(p.share+riseStep*steps, 1)
		return HomeCostsMore
	case p.cheaperHomeFor >= fallAfter:
		p.share = max(p.share-fallStep*steps, 0)
	}
	return AwayCostsMore
}
