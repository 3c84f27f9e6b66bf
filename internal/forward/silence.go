package forward

import (
	"time"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
)

const (
	// minFirstByteTimeout is the shortest wait for a first byte before the call is
	// sent to another replica too.
	minFirstByteTimeout = 150 * time.Millisecond
	// expectedWaitFactor times the expected wait is added to the first-byte timeout,
	// so that a busy replica is not taken for an unresponsive one.
	expectedWaitFactor = 2
	// A stream counts as silent if its next event takes longer than eventTimeoutFactor
	// times the route's MaxPause, and at least minEventTimeout.
	eventTimeoutFactor = 4
	minEventTimeout    = 700 * time.Millisecond
)

// silenceTimeout returns how long to wait for data until the replica counts as silent; zero means until
// the deadline. It applies only if the call may be sent to another replica too: otherwise the pending
// response is the only one that can arrive. A call that may crash replicas runs at one at a time.
func (a *attempt) silenceTimeout() time.Duration {
	e := a.exchange
	if e.callerResponse.hasStarted() {
		return e.eventTimeout()
	}
	if !e.call.Route.MayRunAgain() || e.runs() >= e.call.Route.MaxAttempts || !e.admission.isPlain() {
		return 0
	}
	return max(e.call.Route.Objective, minFirstByteTimeout) + expectedWaitFactor*e.expectedWait(&a.placementAttempt.Choice)
}

// expectedWait returns the expected time to the first byte. That of a plain service leaves out the service
// time, which the objective covers: with it, calls would wait longest for the slowest replica.
func (e *exchange) expectedWait(c *placement.Choice) time.Duration {
	if e.placementRequest.PromptTokens == 0 {
		return c.FirstTokenTime - c.OwnPrefill
	}
	return c.FirstTokenTime
}

// eventTimeout returns how long to wait for a stream's next event; zero means
// until the deadline.
func (e *exchange) eventTimeout() time.Duration {
	if !e.mayResume() {
		return 0
	}
	return max(eventTimeoutFactor*e.call.Route.MaxPause, minEventTimeout)
}

// silentAfter returns the time after d; zero: never.
func silentAfter(now time.Time, d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// watchSilence has the attempt's replica count as silent after d without data; zero: never. A read deadline that is
// earlier is left: it is moved when it has passed.
func (a *attempt) watchSilence(d time.Duration) {
	silentAt := silentAfter(time.Now(), d)
	a.exchange.hedging.silentAt = silentAt
	if !silentAt.IsZero() && (a.readDeadline.IsZero() || silentAt.Before(a.readDeadline)) {
		a.setReadDeadline(silentAt)
	}
}

// setReadDeadline sets when a read calls onReadTimeout; zero: never.
func (a *attempt) setReadDeadline(t time.Time) {
	a.readDeadline = t
	a.conn.SetReadDeadline(t)
}

// replicaSilent is logged for an attempt whose replica counts as silent. reason is why the call was not sent to another
// one too; empty: it was.
type replicaSilent struct {
	attempt *attempt
	reason  stopReason
}

func (*replicaSilent) Name() string { return "replica_silent" }

func (*replicaSilent) Level() eventlog.Level { return eventlog.Notable }

func (ev *replicaSilent) Fields() eventlog.Fields {
	a := ev.attempt
	return eventlog.Fields{
		"request": a.exchange.call.ID, "upstream": a.exchange.call.Upstream,
		"replica": a.placementAttempt.Replica.ID, "peer": a.placementAttempt.Replica.Address,
		"hedged": ev.reason == "", "reason": ev.reason, "left_ms": time.Until(a.exchange.call.Deadline).Milliseconds(),
	}
}
