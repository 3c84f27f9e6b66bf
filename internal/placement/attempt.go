package placement

import (
	"time"

	"galenatrestle/internal/replica"
	"galenatrestle/internal/replicaspeed"
)

// Attempt is one request bound to a replica. It is not safe for concurrent use.
type Attempt struct {
	Replica replica.Replica
	Choice  Choice
	// CopyFrom is the address of another replica that may have cached parts of the prompt that
	// this one lacks; empty: none.
	CopyFrom string
	// NeedsPermit is whether the replica is rate limited: then the request may be sent only after
	// PermitGranted.
	NeedsPermit bool

	upstream  *upstream
	state     *replicaState
	startedAt time.Time
	// pendingPrefill is the attempt's prompt tokens still counted in the replica's backlog.
	pendingPrefill int
	rank           int
	yields         bool
	// prefillTokens is the number of prompt tokens to prefill before the first token, including
	// those of other requests.
	prefillTokens int
	// shared is the prompt's shared parts.
	shared []PromptPart
	// tokensInMemory is what the attempt takes of the replica's memory.
	tokensInMemory int
	shortPrompt    bool
	class          string
	// hasEvents is whether the answer had events after the first.
	hasEvents bool
	// isPlain is whether the request has no prompt, expectedMS the time to first token expected of a
	// replica of the mean speed, ownFraction the request's own part of it, loadAtStart the load of the replica before it,
	// and gaps the pauses between the last events of the answer.
	isPlain         bool
	expectedMS      float64
	ownFraction     float64
	loadAtStart     replicaspeed.Load
	gaps            replicaspeed.Gaps
	ended           bool
	answerStartedAt time.Time
	// events counts the answer's events after the first.
	events int
	// answerBytes is the received bytes of the answer.
	answerBytes int
	// prefilled is the number of the attempt's prompt tokens that the replica prefills. lastEventAt is
	// when data was last received, and pendingAtEvent the replica's prefill backlog then; they are
	// kept only if choices take objectives into account.
	prefilled      int
	lastEventAt    time.Time
	pendingAtEvent int
}

// PermitGranted records that a rate limit permit was granted and the request is about to be
// sent.
func (a *Attempt) PermitGranted(now time.Time) {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.startedAt = now
	a.recordSent(now)
}

// Sent records that an undecided request is about to be sent. The parts of a prompt that is refused after
// the choice must not count as cached at the replica.
func (a *Attempt) Sent(now time.Time) {
	if !a.NeedsPermit {
		a.PermitGranted(now)
	}
}

// recordSent records that the request is being sent to the replica. The lock is held.
func (a *Attempt) recordSent(now time.Time) {
	s := a.state
	s.cache.add(now, a.shared)
	a.upstream.recentPlacements.add(now, s.replica.ID, a.shared)
	a.expectFirstToken()
	if s.waitingSince.IsZero() || s.running == 1 {
		s.waitingSince = now
	}
}

// AnswerStarted records the first byte of a successful answer.
func (a *Attempt) AnswerStarted(now time.Time) {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	if !a.yields {
		a.observeFirstToken(now)
		a.upstream.prefillSpeed.Observe(a.prefillTokens, now.Sub(a.startedAt))
	}
	a.state.cache.markPrefilled(now, a.shared)
	a.answerStartedAt = now
	a.learnEvent(now)
	a.recordData(now)
	a.state.recover(now)
}

// ErrorReceived records that the replica answered with an error.
func (a *Attempt) ErrorReceived(now time.Time) {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.recordData(now)
	a.state.recover(now)
}

// DataReceived records further bytes of the answer.
func (a *Attempt) DataReceived(now time.Time) {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.events++
	a.learnEvent(now)
	a.recordData(now)
	a.observeEvent(now)
}

// recordData records data from the replica, which implies that the prompt is prefilled. The
// lock is held.
func (a *Attempt) recordData(now time.Time) {
	a.removePrefill()
	a.state.lastDataAt = now
	a.state.responded()
}

// removePrefill takes the attempt's prompt out of the replica's prefill backlog.
func (a *Attempt) removePrefill() {
	a.state.prefillBacklog.add(a.rank, -a.pendingPrefill)
	a.pendingPrefill = 0
}

// End records the result of the attempt. Only the first call has an effect.
func (a *Attempt) End(now time.Time, result Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.removePrefill()
	a.forgetSpeed()
	a.state.running--
	a.state.tokensInMemory -= a.tokensInMemory
	if a.shortPrompt {
		a.state.runningShort--
	}
	if a.state.running == 0 {
		a.state.waitingSince = time.Time{}
	}
	if a.isPlain && a.upstream.service != nil {
		a.upstream.observeService(now, a.state, now.Sub(a.startedAt), result)
	}
	a.state.recordResponse(result)
	a.upstream.zones.answered(a, result == Answered)
	switch result {
	case Cancelled:
	case Answered:
		a.state.lastDataAt = now
		a.state.recover(now)
		a.observeWhole(now)
		a.observePace(now)
		a.upstream.learnServiceTime(now.Sub(a.startedAt))
		if !a.answerStartedAt.IsZero() {
			a.upstream.learnAnswerTime(now.Sub(a.answerStartedAt))
			a.learnAnswer(now)
		}
	default:
		a.state.addFailure(now, penalties[result])
	}
}

// learnServiceTime is called with the lock held.
func (u *upstream) learnServiceTime(took time.Duration) {
	u.serviceMS += serviceTimeWeight * (float64(took.Milliseconds()) - u.serviceMS)
}
