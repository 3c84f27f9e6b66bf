package placement

import (
	"sync/atomic"
	"time"
)

// The cost of copying or recomputing shared tokens keeps a session at the replica that has them
// cached. Without regard to the objective, that cost outweighs any queue there: 6,300 shared
// tokens cost 1.9 s to copy, while the objective is 600 ms. In a burst of 888 long prompts on 60
// replicas at a load of 0.4, the busiest replica got 38 and the idlest 1, and 30 to 50 of 100 were
// refused as too late. The expected loss of a missed objective outweighs it. It is bounded, so if
// all replicas are late, the other costs decide, and a session stays at its replica.

const (
	// minObjectiveCandidates is the expected number of replicas of a side that a node of a large
	// fleet draws. Expected losses differ more between replicas than their loads do, so with more
	// draws the nodes pick the same idle replicas and copy more prompts to them.
	minObjectiveCandidates = 2.0
	// firstTokenFactor is the time to first token relative to that expected from the reported loads:
	// requests of the last third of a second are missing in them.
	firstTokenFactor = 1.5
	// freshLoads is the age up to which reported loads count as current, staleLoads that from which
	// they tell little.
	freshLoads = 500 * time.Millisecond
	staleLoads = 2 * time.Second
	// maxSecondHomeCost bounds the cost, in milliseconds, of a replica that has shared parts cached but
	// is not their primary one. It ends the use of a second replica when the primary one is idle again.
	maxSecondHomeCost = 20.0
	// objectiveInterval is the time between two calculations of what all choices have in common.
	objectiveInterval = 100 * time.Millisecond
)

// objectiveCosts is what choices by objective and pause are based on, for one upstream.
type objectiveCosts struct {
	// missCostMS is the cost of a missed objective, in milliseconds.
	missCostMS float64
	pauses     pauseModel
	// staleness is how little the loads of other nodes tell at the present choice, from 0 to 1.
	staleness float64
	// shortTarget is the number of requests with short prompts per replica, as of preparedAt;
	// zero: not bounded by pauses.
	shortTarget float64
	preparedAt  time.Time
	// moves counts, for all upstreams, the choices of a replica other than the one with the prompt
	// cached because that one is expected to be late.
	moves *atomic.Int64
}

func newObjectiveCosts(missCostMS float64, moves *atomic.Int64) *objectiveCosts {
	return &objectiveCosts{missCostMS: missCostMS, pauses: newPauseModel(), moves: moves}
}

// SetObjectivePlacement makes choices take the requests' objectives and longest allowed pauses
// into account. missCost is the cost of missing either, in latency. Call it before the first
// Choose.
func (p *Placer) SetObjectivePlacement(missCost time.Duration) { p.missCostMS = milliseconds(missCost) }

// byObjective reports whether the request's objective or longest allowed pause counts. A request
// without either costs the same as if objectives were disregarded.
func (u *upstream) byObjective(r *Request) bool {
	return u.objective != nil && (r.Objective > 0 || r.MaxPause > 0)
}

// prepareObjective is called before each choice.
func (u *upstream) prepareObjective(now time.Time, r *Request) {
	o := u.objective
	o.staleness = staleness(now, u.peersAt)
	if r.MaxPause > 0 && r.PromptTokens > 0 && !u.hasLongPrompts(r) {
		o.pauses.learnMaxPause(r.MaxPause)
	}
	if o.preparedAt.IsZero() || now.Sub(o.preparedAt) >= objectiveInterval {
		o.preparedAt, o.shortTarget = now, o.pauses.shortTarget()
	}
}

// missCost returns the expected loss, at the replica, of missing the request's objective and its
// longest allowed pause, and of pauses that it brings to others.
func (u *upstream) missCost(r *Request, s *replicaState, uncached int) float64 {
	late := u.lateProbability(r, s, uncached) + u.pauseProbability(r, s) + u.stalledStreams(r, s, uncached)
	return u.objective.missCostMS * late
}

// lateProbability returns the probability that the first event comes after the objective if the
// replica has to prefill the uncached tokens of the prompt.
func (u *upstream) lateProbability(r *Request, s *replicaState, uncached int) float64 {
	if r.Objective <= 0 {
		return 0
	}
	expected := u.prefillMS(s, s.prefillAhead(r.Rank)+uncached) + u.slotWaitMS(s, r.Rank)
	return exceedProbability(firstTokenFactor*expected, milliseconds(r.Objective), u.objective.staleness)
}

// secondHomeCost returns the cost of a second replica for the cached tokens of the shared parts.
// It is at most the time to prefill them: short parts are not worth an uneven load.
func (u *upstream) secondHomeCost(s *replicaState, p *prefixLocation, cached int) float64 {
	if s == p.primary {
		return 0
	}
	return min(u.objective.pauses.msPerToken*float64(cached), maxSecondHomeCost)
}

// staleness returns how stale the loads are that the other nodes reported at the time, from 0 to 1.
func staleness(now, peersAt time.Time) float64 {
	if peersAt.IsZero() {
		return 0
	}
	return min(max(float64(now.Sub(peersAt)-freshLoads)/float64(staleLoads-freshLoads), 0), 1)
}

// exceedProbability returns the probability that a time exceeds the limit. The logarithm of the
// time is distributed logistically around that of the expected one, with a spread of one third, and
// of one if the expectation is based on stale loads. The exponents are whole numbers because a
// choice calculates hundreds of them.
func exceedProbability(expected, limit, staleness float64) float64 {
	if expected <= 0 {
		return 0
	}
	// A limit of l times the expected time is exceeded with probability 1/(1+l*l*l).
	cube := expected * expected * expected
	fresh := cube / (cube + limit*limit*limit)
	if staleness == 0 {
		return fresh
	}
	return (1-staleness)*fresh + staleness*expected/(expected+limit)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
