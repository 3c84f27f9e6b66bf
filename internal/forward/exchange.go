package forward

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"galenatrestle/internal/placement"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/route"
)

const (
	// maxNotRun bounds the attempts of one call that were proved not to run.
	maxNotRun = 4
	// refusedRetryAfter is what a caller is told to wait whose call was not
	// run: long enough for a replica's queue to move on, short against the
	// usual objectives.
	refusedRetryAfter = 200 * time.Millisecond
)

// exchange is one call on its way. It is for one goroutine.
type exchange struct {
	forwarder *Forwarder
	call      *Call
	// caller ends when the caller has left, ctx also at the deadline.
	caller  context.Context
	ctx     context.Context
	outlet  *outlet
	request placement.Request
	// fingerprint identifies the call's content.
	fingerprint quarantine.Fingerprint

	// attempts counts all, arrivals those that reached a replica, mayHaveRun
	// those of which it is not proved that they did not run.
	attempts   int
	arrivals   int
	mayHaveRun int
	// counted says that the retry budget knows of the call.
	counted bool
	// lastEvent is the last event that the caller has.
	lastEvent string
	// last is why the last attempt brought no whole answer.
	last *Failure
	// metered says that the call was counted as one that began to run.
	metered bool
	// firstByte is when the answer began, lastByte when its newest events came, and
	// longestPause the longest time between two of them; replica is who gave the last
	// attempt.
	firstByte    time.Time
	lastByte     time.Time
	longestPause time.Duration
	replica      string
}

// errOverloaded says that the call was turned away before it could cost anything.
var errOverloaded = errors.New("turned away for overload")

// run makes attempts until the answer is whole or none is left to make.
func (e *exchange) run() Ending {
	if left, refused := e.forwarder.options.CrashGuard.refuses(time.Now(), e.fingerprint); refused {
		e.outlet.notRun(left)
		return EndedQuarantined
	}
	for {
		failure := e.try()
		if failure == nil {
			return EndedComplete
		}
		e.last = failure
		e.note(failure)
		if !e.again(failure) {
			return e.end(failure)
		}
	}
}

// note counts a failed attempt.
func (e *exchange) note(f *Failure) {
	if f.ReachedReplica {
		e.arrivals++
	}
	if !f.NotRun {
		e.mayHaveRun++
	}
	e.forwarder.options.Log.Write(&attemptFailed{exchange: e, failure: f})
}

// again says whether another attempt is made. One that follows an arrival is
// taken from the retry budget.
func (e *exchange) again(f *Failure) bool {
	reason := e.refuseAgain(f)
	if reason == "" && e.arrivals > 0 && !f.RetryReserved && !e.forwarder.options.Budget.Take(time.Now(), e.call.Upstream) {
		reason = noBudget
	}
	e.forwarder.metrics.decided(f, reason)
	e.forwarder.options.Log.Write(&retryDecided{exchange: e, failure: f, reason: reason})
	return reason == ""
}

// ran counts the call, once, as one that a replica began to run.
func (e *exchange) ran() {
	if e.metered || e.forwarder.options.OnRun == nil {
		return
	}
	e.metered = true
	e.forwarder.options.OnRun(e.call.workspace())
}

// refuseAgain returns why no further attempt may be made; empty: it may.
func (e *exchange) refuseAgain(f *Failure) stopReason {
	switch {
	case e.caller.Err() != nil:
		return callerLeft
	case e.ctx.Err() != nil:
		return deadlinePassed
	case errors.Is(f, errNoReplica):
		return noReplica
	case errors.Is(f, errRateLimited):
		return rateLimited
	case errors.Is(f, errOverloaded):
		return overloaded
	case e.outlet.begun() && e.call.Route.Repeat != route.ResumableStream:
		return answerBegun
	case e.attempts-e.mayHaveRun >= maxNotRun:
		return tooManyRefusals
	case f.NotRun && e.mayHaveRun == 0:
		return ""
	case !e.call.Route.MayRunAgain():
		return mayHaveRun
	case e.mayHaveRun >= e.call.Route.MaxAttempts:
		return attemptsUsed
	case f.Status >= http.StatusBadRequest && f.Status < http.StatusInternalServerError && !f.NotRun:
		return rejectedByReplica
	default:
		return ""
	}
}

// end tells the caller that there is no whole answer.
func (e *exchange) end(f *Failure) Ending {
	switch {
	case e.caller.Err() != nil:
		return EndedCallerGone
	case e.outlet.begun():
		return EndedBroken
	case f.Status != 0 && !f.NotRun:
		e.outlet.replicaFailure(f)
		return EndedReplicaFailure
	case e.mayHaveRun == 0:
		e.outlet.notRun(retryAfter(f))
		return EndedRefused
	case e.ctx.Err() != nil:
		e.outlet.status(http.StatusGatewayTimeout)
		return EndedTimeout
	default:
		e.outlet.status(http.StatusBadGateway)
		return EndedUnknown
	}
}

// retryAfter is when a caller whose call was not run should come back.
func retryAfter(f *Failure) time.Duration {
	return cmp.Or(f.RetryAfter, refusedRetryAfter)
}
