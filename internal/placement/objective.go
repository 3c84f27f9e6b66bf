package placement

import (
	"math"
	"time"
)

// The cost of copying or recomputing shared tokens keeps a session at the replica that has them
// cached. Without regard to the objective, that cost outweighs any queue there: 6,300 shared
// tokens cost 1.9 s to copy, while the objective is 600 ms. In a burst of 888 long prompts on 60
// replicas at a load of 0.4, the busiest replica got 38 and the idlest 1, and 30 to 50 of 100 were
// refused as too late. The expected loss of a missed objective outweighs it. It is bounded, so if
// all replicas are late, the other costs decide, and a session stays at its replica.

// missSpread is the spread of the logarithm of the time to first token around its expectation.
const missSpread = 0.35

// SetObjectivePlacement makes choices take the requests' objectives and longest allowed pauses
// into account. missCost is the cost of missing either, in latency. Call it before the first
// Choose.
func (p *Placer) SetObjectivePlacement(missCost time.Duration) {
	p.missCostMS = float64(missCost) / float64(time.Millisecond)
}

// missCost returns the expected cost of a first event that comes after the request's objective
// at the replica, where the uncached tokens of its prompt are to be prefilled.
func (u *upstream) missCost(r *Request, s *replicaState, uncached int) float64 {
	if u.missCostMS == 0 || r.Objective <= 0 {
		return 0
	}
	expectedMS := u.prefillSpeed.PrefillMS(s.prefillAhead(r.Rank)+uncached) + u.slotWaitMS(s, r.Rank)
	return u.missCostMS * exceedProbability(expectedMS, milliseconds(r.Objective), missSpread)
}

// exceedProbability returns the probability that a time exceeds the limit. The logarithm of the
// time is distributed logistically around that of the expected one.
func exceedProbability(expected, limit, spread float64) float64 {
	if expected <= 0 {
		return 0
	}
	return 1 / (1 + math.Pow(limit/expected, 1/spread))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
