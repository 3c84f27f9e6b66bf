package forward

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/fairshare"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/route"
)

const (
	// maxNotRunAttempts limits a call's attempts that certainly did not run.
	maxNotRunAttempts = 4
	// defaultRetryAfter is the retry delay reported for a call that did not run:
	// long enough for a replica's queue to advance, short compared with usual
	// route objectives.
	defaultRetryAfter = 200 * time.Millisecond
)

// exchange is the state of one call in progress. It is not safe for concurrent use.
type exchange struct {
	forwarder *Forwarder
	call      *Call
	// callerCtx ends when the caller disconnects, ctx also at the deadline.
	callerCtx        context.Context
	ctx              context.Context
	callerResponse   *callerResponse
	placementRequest placement.Request
	fingerprint      quarantine.Fingerprint
	// sharedParts are the parts of the prompt that other calls may share.
	sharedParts []quarantine.PromptPart
	// factors are what the call has in common with others and may crash replicas; admission is the crash guard's
	// decision on it.
	factors   []crashcause.Factor
	admission admission

	// standing is the workspace's standing at the upstream, and shareObserved is set once the call was
	// counted in its use.
	standing      fairshare.Standing
	shareObserved bool

	// attempts counts all attempts. Of the failed ones, sentAttempts counts those
	// whose request was sent to a replica, and possibleRuns those in which the
	// replica may have run the call.
	attempts     int
	sentAttempts int
	possibleRuns int
	// inFlight counts the attempts in progress: current, which forwards its response, and its hedges.
	inFlight int
	current  *attempt
	hedging  hedging
	// awaited counts the attempts after which the call waited for a replica of the stream's version,
	// since awaitedSince; triedAgain is whether the last attempt's replica had failed before.
	awaited      int
	awaitedSince time.Time
	triedAgain   bool
	// budgetCounted is set once the retry budget has counted the call.
	budgetCounted bool
	lastEventID   string
	lastFailure   *Failure
	// errorResponse is the last error response of a replica; nil: none was received.
	errorResponse *Failure
	// returning is what is known of the caller's return.
	returning returnState
	// runCounted is set once Options.OnRun was called.
	runCounted bool
	// firstByteAt is when the response started, lastEventsAt when the newest events
	// arrived, longestPause the longest time between events, and lastReplicaID the
	// replica of the last attempt.
	firstByteAt   time.Time
	lastEventsAt  time.Time
	longestPause  time.Duration
	lastReplicaID string
	// lastVia is the node through which the last attempt was sent; empty: directly.
	lastVia string
}

// errOverloaded means that overload control refused the call before any attempt.
var errOverloaded = errors.New("turned away for overload")

// run makes attempts until one succeeds or no retry is allowed.
func (e *exchange) run() Ending {
	guard := e.forwarder.options.CrashGuard
	e.admission = guard.admit(time.Now(), e)
	if e.admission.refused() {
		e.callerResponse.writeNotRun(e.admission.left)
		return EndedQuarantined
	}
	defer guard.release(e)
	e.applyShare(time.Now())
	failure := e.try()
	for failure != nil {
		e.recordFailure(failure)
		switch {
		case e.isHedged():
			failure = e.continueHedged()
		case e.awaitVersion(failure) || e.decideRetry(failure):
			failure = e.try()
		default:
			return e.endFailed(failure)
		}
	}
	return EndedComplete
}

func (e *exchange) recordFailure(f *Failure) {
	e.lastFailure = f
	if f.ReachedReplica {
		e.sentAttempts++
	}
	if !f.NotRun {
		e.possibleRuns++
	}
	if f.Status != 0 {
		e.errorResponse = f
	}
	e.forwarder.options.Log.Write(&attemptFailed{exchange: e, failure: f})
}

// decideRetry reports whether to retry.
func (e *exchange) decideRetry(f *Failure) bool {
	reason := e.stopReason(f)
	e.forwarder.metrics.recordRetryDecision(f, reason)
	e.forwarder.options.Log.Write(&retryDecided{exchange: e, failure: f, reason: reason})
	return reason == ""
}

// stopReason returns why the call must not be sent to a further replica after the failure, empty if it may be. Once an
// attempt has reached a replica, it takes a retry from the retry budget.
func (e *exchange) stopReason(f *Failure) stopReason {
	reason := e.retryStopReason(f)
	if reason == "" && e.sentAttempts+e.inFlight > 0 && !e.forwarder.options.Budget.Take(time.Now(), e.call.Upstream) {
		return noBudget
	}
	return reason
}

// runs returns the number of attempts that may have run the call or may do so yet.
func (e *exchange) runs() int { return e.possibleRuns + e.inFlight }

// notRunAttempts returns the number of attempts that did not run, but for those that waited for a
// replica.
func (e *exchange) notRunAttempts() int { return e.attempts - e.runs() - e.awaited }

// countRun calls Options.OnRun the first time that a replica begins to run the call.
func (e *exchange) countRun() {
	if e.runCounted || e.forwarder.options.OnRun == nil {
		return
	}
	e.runCounted = true
	e.forwarder.options.OnRun(e.call.workspace())
}

// retryStopReason returns why the failure must not be retried, empty if it may be.
func (e *exchange) retryStopReason(f *Failure) stopReason {
	switch {
	case e.callerCtx.Err() != nil:
		return callerGone
	case e.forwarder.ended.Err() != nil:
		return processEnds
	case e.ctx.Err() != nil:
		return deadlinePassed
	case errors.Is(f, errNoReplica):
		return noReplica
	case errors.Is(f, errRateLimited):
		return rateLimited
	case errors.Is(f, errFull):
		return replicasFull
	case errors.Is(f, errPaused):
		return replicasPaused
	case errors.Is(f, errOverloaded):
		return overloaded
	case e.forwarder.options.CrashGuard.isRefused(time.Now(), e):
		return crashesReplicas
	case e.callerResponse.hasStarted() && e.call.Route.Repeat != route.ResumableStream:
		return responseStarted
	case e.notRunAttempts() >= maxNotRunAttempts:
		return tooManyRefusals
	case f.NotRun && e.runs() == 0:
		return ""
	case !e.call.Route.MayRunAgain():
		return mayHaveRun
	case e.runs() >= e.call.Route.MaxAttempts:
		return attemptsUsed
	case f.Status >= http.StatusBadRequest && f.Status < http.StatusInternalServerError && !f.NotRun:
		return rejectedByReplica
	default:
		return ""
	}
}

func (e *exchange) endFailed(f *Failure) Ending {
	switch {
	case e.callerCtx.Err() != nil:
		return EndedCallerGone
	case e.callerResponse.hasStarted():
		return EndedBroken
	case e.errorResponse != nil && (f == e.errorResponse || f.NotRun):
		// Also if a further attempt did not run: the response of the one before is final.
		e.callerResponse.writeReplicaFailure(e.errorResponse)
		return EndedReplicaFailure
	case e.possibleRuns == 0:
		e.callerResponse.writeNotRun(retryAfter(f))
		return EndedRefused
	case e.ctx.Err() != nil:
		e.callerResponse.writeStatus(http.StatusGatewayTimeout)
		return EndedTimeout
	default:
		e.callerResponse.writeStatus(http.StatusBadGateway)
		return EndedUnknown
	}
}

func retryAfter(f *Failure) time.Duration {
	return cmp.Or(f.RetryAfter, defaultRetryAfter)
}
