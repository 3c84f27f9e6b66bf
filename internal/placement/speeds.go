package placement

import (
	"time"

	"galenatrestle/internal/replicaspeed"
)

// SetReplicaSpeeds makes choices depend on the speed that each replica shows. Call it before the
// first Choose.
func (p *Placer) SetReplicaSpeeds(speeds *ReplicaSpeeds) { p.speeds = speeds }

// trackSpeeds lists the estimates of the known replicas for refreshes. The lock is held.
func (u *upstream) trackSpeeds() {
	u.speedEstimates = u.speedEstimates[:0]
	for _, s := range u.all {
		u.speedEstimates = append(u.speedEstimates, &s.speed)
	}
}

// refreshSpeeds computes the factors if they are not recent. The lock is held.
func (u *upstream) refreshSpeeds(now time.Time) {
	if u.speeds == nil || !u.speeds.Refresh(now, u.speedEstimates) {
		return
	}
	u.updateSlowStart()
}

// prefillMS returns the time, in milliseconds, to prefill the tokens at the replica.
func (u *upstream) prefillMS(s *replicaState, tokens int) float64 {
	ms := u.prefillSpeed.PrefillMS(tokens)
	if u.speeds == nil {
		return ms
	}
	return ms / s.speed.PrefillFactor()
}

// prefillTime is prefillMS as a duration.
func (u *upstream) prefillTime(s *replicaState, tokens int) time.Duration {
	return time.Duration(u.prefillMS(s, tokens) * float64(time.Millisecond))
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
	u := a.upstream
	if u.speeds == nil || a.prefillTokens <= 0 {
		return
	}
	expected := u.prefillSpeed.ExpectedMS(a.prefillTokens)
	ownFraction := 1 - u.prefillSpeed.PrefillMS(a.Choice.PrefillAhead)/expected
	u.speeds.ObservePrefill(&a.state.speed, expected, 1e3*now.Sub(a.startedAt).Seconds(), ownFraction)
	a.gaps.Add(now)
}

// observeEvent records an event of the answer after the first. The lock is held.
func (a *Attempt) observeEvent(now time.Time) {
	u := a.upstream
	if u.speeds == nil {
		return
	}
	if typical, took := a.gaps.Add(now); typical > 0 {
		u.speeds.ObserveGap(&a.state.speed, a.state.speedLoad(), typical, took)
	}
}

// observeService records the answer time of a plain service. The lock is held.
func (a *Attempt) observeService(now time.Time) {
	if a.upstream.speeds != nil && a.isPlain {
		a.upstream.speeds.ObserveService(&a.state.speed, a.loadAtStart, now.Sub(a.startedAt))
	}
}

// setSpeeds adds this node's observations of the replica to its load report.
func (l *Load) setSpeeds(s *replicaState) {
	if own := s.speed.Own(replicaspeed.Prefill); own.Significant() {
		l.Prefill = own
	}
	if own := s.speed.Own(replicaspeed.Decode); own.Significant() {
		l.Decode = own
	}
}

// hasSpeeds reports whether the load report has observations of speed.
func (l *Load) hasSpeeds() bool { return l.Prefill.Weight > 0 || l.Decode.Weight > 0 }
