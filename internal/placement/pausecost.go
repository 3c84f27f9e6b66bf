package placement

import "time"

const (
	// otherSideMissProbability is the probability that a stream is late on the side of the other kind
	// of prompts, or makes streams there late, beyond what the loads there at the time of the choice
	// tell.
	otherSideMissProbability = 0.3
	// remainingFraction is the fraction of the running streams that have not paused for too long yet
	// and still have most of their events to come.
	remainingFraction = 0.5
)

// pauseProbability returns the probability that the request's stream pauses for too long while the
// prompts that wait at the replica are prefilled.
func (u *upstream) pauseProbability(r *Request, s *replicaState) float64 {
	if r.MaxPause <= 0 {
		return 0
	}
	return exceedProbability(u.eventGapMS(s, s.pendingPrefill()), milliseconds(r.MaxPause), u.objective.staleness)
}

// stalledStreams returns the expected number of streams with short prompts at the replica that
// pause for too long because the uncached tokens of a long prompt are prefilled. A short prompt is
// prefilled in one step and hardly adds to a pause.
func (u *upstream) stalledStreams(r *Request, s *replicaState, uncached int) float64 {
	streams := s.runningShort + s.peersRunningShort
	limit := u.objective.pauses.shortMaxPauseMS
	if streams == 0 || limit == 0 || !u.hasLongPrompts(r) {
		return 0
	}
	pending := s.pendingPrefill()
	before := exceedProbability(u.eventGapMS(s, pending), limit, 0)
	after := exceedProbability(u.eventGapMS(s, pending+uncached), limit, 0)
	return remainingFraction * float64(streams) * (after - before)
}

// eventGapMS returns the expected time between two events at the replica while it prefills the
// tokens.
func (u *upstream) eventGapMS(s *replicaState, tokens int) float64 {
	_, decode := u.speedFactors(s)
	return u.objective.pauses.eventMS/decode + u.prefillMS(s, tokens)
}

// otherSideCost returns the cost of a replica on the side of the other kind of prompts.
func (o *objectiveCosts) otherSideCost() float64 { return otherSideMissProbability * o.missCostMS }

// boundShort returns the target and maximum numbers of requests with short prompts per replica,
// bounded by those that follow from pauses.
func (o *objectiveCosts) boundShort(target, maximum float64) (float64, float64) {
	if o.shortTarget == 0 || o.shortTarget >= target {
		return target, maximum
	}
	return o.shortTarget, maximum * o.shortTarget / target
}

// shortSideCount returns the number of replicas that make up the share of the total speed.
func (u *upstream) shortSideCount(available []*replicaState, share float64) int {
	total := 0.0
	for _, s := range available {
		prefill, _ := u.speedFactors(s)
		total += prefill
	}
	sum := 0.0
	for i, s := range available {
		prefill, _ := u.speedFactors(s)
		if sum+prefill/2 > share*total {
			return i
		}
		sum += prefill
	}
	return len(available)
}

// learnEvent learns from the time since the last event of the stream.
func (a *Attempt) learnEvent(now time.Time) {
	o := a.upstream.objective
	if o == nil {
		return
	}
	pending := a.state.pendingPrefill()
	if !a.lastEventAt.IsZero() {
		o.pauses.learnEvent(now.Sub(a.lastEventAt), a.pendingAtEvent, pending)
	}
	a.lastEventAt, a.pendingAtEvent = now, pending
}

// learnAnswer learns from the end of a whole answer.
func (a *Attempt) learnAnswer(now time.Time) {
	if u := a.upstream; u.objective != nil && a.tokensInMemory > 0 {
		u.objective.pauses.learnAnswer(a.shortPrompt, a.prefilled, now.Sub(a.startedAt), u.prefillSpeed.TokensPerMS())
	}
}
