package placement

import (
	"slices"
	"strings"
	"time"

	"galenatrestle/internal/replicaspeed"
)

// SetReplicaSpeeds makes choices depend on the speed that each replica shows. Call it before the
// first Choose.
func (p *Placer) SetReplicaSpeeds(speeds *ReplicaSpeeds) { p.speeds = speeds }

// trackSpeeds lists the estimates of the known replicas for refreshes, in an order in which sums of
// them are the same in each run of a simulation. The lock is held.
func (u *upstream) trackSpeeds() {
	if u.speeds == nil {
		return
	}
	u.speedStates = append(u.speedStates[:0], u.all...)
	slices.SortFunc(u.speedStates, func(a, b *replicaState) int { return strings.Compare(a.replica.ID, b.replica.ID) })
	u.speedEstimates = u.speedEstimates[:0]
	for _, s := range u.speedStates {
		u.speedEstimates = append(u.speedEstimates, &s.speed)
	}
}

// refreshSpeeds computes the factors if they are not recent. The lock is held.
func (u *upstream) refreshSpeeds(now time.Time) {
	if u.speeds == nil || !u.speeds.Due(now) {
		return
	}
	for _, s := range u.all {
		u.speeds.ClearOverdue(&s.speed)
		for _, a := range s.prompts {
			a.addOverdue(now)
		}
	}
	u.speeds.Refresh(now, u.speedEstimates, u.onClassChange(now))
	u.updateSlowStart()
}

// onClassChange returns the function that reports replicas whose class changed; nil: nobody asks.
func (u *upstream) onClassChange(now time.Time) func(int, replicaspeed.Class) {
	report := u.onSpeedChange
	if report == nil {
		return nil
	}
	peersAge := NoPeers
	if !u.peersAt.IsZero() {
		peersAge = now.Sub(u.peersAt)
	}
	return func(i int, before replicaspeed.Class) {
		s := u.speedStates[i]
		report(SpeedChange{
			Replica: s.replica, Before: before, Speed: s.speed.Reading(), Running: s.running + s.peersRunning,
			PendingPrefill: s.pendingPrefill(), PeersAge: peersAge,
		})
	}
}

// prefillMS returns the time, in milliseconds, to prefill the tokens at the replica.
func (u *upstream) prefillMS(s *replicaState, tokens int) float64 {
	ms := u.prefillSpeed.PrefillMS(tokens)
	if u.objective != nil {
		// The average over many answers, so that nodes expect alike.
		ms = u.objective.pauses.msPerToken * float64(tokens)
	}
	prefill, _ := u.speedFactors(s)
	return ms / prefill
}

// prefillTime is prefillMS as a duration.
func (u *upstream) prefillTime(s *replicaState, tokens int) time.Duration {
	return msDuration(u.prefillMS(s, tokens))
}

// speedLoad returns the load of the replica as far as it explains the times seen there.
func (s *replicaState) speedLoad() replicaspeed.Load {
	return replicaspeed.Load{
		Running:    float64(s.running+s.peersRunning) / float64(max(s.replica.Slots, 1)),
		Prefilling: s.pendingPrefill() > 0,
	}
}

// observeFirstToken records the attempt's time to first token. The lock is held.
func (a *Attempt) observeFirstToken(now time.Time) {
	if a.upstream.speeds == nil {
		return
	}
	a.upstream.speeds.ObservePrefill(&a.state.speed, a.expectedMS, 1e3*now.Sub(a.startedAt).Seconds(), a.ownFraction)
	a.gaps.Add(now)
}

// expectFirstToken notes when the first token is expected, as the request is sent. Classes that are
// answered as a whole are left out: they would always be overdue. The lock is held.
func (a *Attempt) expectFirstToken() {
	u := a.upstream
	if u.speeds == nil || a.isPlain || u.withoutEvents[a.class] {
		return
	}
	a.expectedMS = u.prefillSpeed.ExpectedMS(a.prefillTokens)
	a.ownFraction = 1 - u.prefillSpeed.PrefillMS(a.Choice.PrefillAhead)/a.expectedMS
	a.state.prompts = append(a.state.prompts, a)
}

// forgetSpeed removes the attempt from those that run. The lock is held.
func (a *Attempt) forgetSpeed() {
	if i := slices.Index(a.state.prompts, a); i >= 0 {
		a.state.prompts = slices.Delete(a.state.prompts, i, i+1)
	}
}

// addOverdue counts the attempt if its first or next event is overdue. The lock is held.
func (a *Attempt) addOverdue(now time.Time) {
	speeds, e := a.upstream.speeds, &a.state.speed
	if lastAt := a.gaps.LastAt(); !lastAt.IsZero() {
		speeds.AddOverdueGap(e, a.state.speedLoad(), now.Sub(lastAt))
		return
	}
	speeds.AddOverdue(e, a.expectedMS, 1e3*now.Sub(a.startedAt).Seconds(), a.ownFraction)
}

// observeEvent records an event of the answer after the first. The lock is held.
func (a *Attempt) observeEvent(now time.Time) {
	u := a.upstream
	if u.speeds == nil {
		return
	}
	if !a.hasEvents {
		a.hasEvents = true
		delete(u.withoutEvents, a.class)
	}
	if typical, took := a.gaps.Add(now); typical > 0 {
		u.speeds.ObserveGap(&a.state.speed, a.state.speedLoad(), typical, took)
	}
}

// observeWhole records a whole answer: the answer time of a plain service, or that a class of
// prompts is not answered by events. The lock is held.
func (a *Attempt) observeWhole(now time.Time) {
	switch u := a.upstream; {
	case u.speeds == nil:
	case a.isPlain:
		u.speeds.ObserveService(&a.state.speed, a.loadAtStart, now.Sub(a.startedAt))
	case !a.hasEvents:
		u.withoutEvents[a.class] = true
	}
}

// setSpeeds adds this node's observations of the replica to its load report.
func (l *Load) setSpeeds(now time.Time, s *replicaState) {
	l.BestPace = s.reportedPace(now)
	if own := s.speed.Own(replicaspeed.Prefill); own.Significant() {
		l.Prefill = own
	}
	if own := s.speed.Own(replicaspeed.Decode); own.Significant() {
		l.Decode = own
	}
}

// hasSpeeds reports whether the load report has observations of speed.
func (l *Load) hasSpeeds() bool { return l.Prefill.Weight > 0 || l.Decode.Weight > 0 || l.BestPace > 0 }
