package forward

import (
	"time"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
)

const (
	// minFirstByteTimeout is the shortest wait for a first byte before the call is
	// tried on another replica.
	minFirstByteTimeout = 150 * time.Millisecond
	// expectedWaitFactor times the expected wait is added to the first-byte timeout,
	// so that a busy replica is not taken for an unresponsive one.
	expectedWaitFactor = 2
	// A stream is resumed on another replica if its next event takes longer than
	// eventTimeoutFactor times the route's MaxPause, and at least minEventTimeout.
	eventTimeoutFactor = 4
	minEventTimeout    = 700 * time.Millisecond
)

// firstByteTimeout returns how long to wait for the first byte; zero means until
// the deadline. The timeout applies only if the call may run again and has an
// attempt left: otherwise the pending response is the only one that can arrive. A
// resumed stream has the event timeout instead.
func (a *attempt) firstByteTimeout() time.Duration {
	e := a.exchange
	if e.callerResponse.hasStarted() {
		return a.eventTimeout()
	}
	if !e.call.Route.MayRunAgain() || e.possibleRuns+1 >= e.call.Route.MaxAttempts {
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
func (a *attempt) eventTimeout() time.Duration {
	e := a.exchange
	if !e.mayResume() {
		return 0
	}
	return max(eventTimeoutFactor*e.call.Route.MaxPause, minEventTimeout)
}

// resetIdleTimer restarts the idle timer with duration d; zero disables it.
func (a *attempt) resetIdleTimer(d time.Duration) {
	if a.idleTimer != nil {
		a.idleTimer.Stop()
	}
	a.idleTimerArmed = d > 0
	if !a.idleTimerArmed {
		return
	}
	if a.idleTimer != nil {
		a.idleTimer.Reset(d)
		return
	}
	a.idleTimer = time.AfterFunc(d, a.onIdleTimeout)
}

// onIdleTimeout aborts the attempt if the retry budget allows another one. If it
// does not, the attempt goes on, since its response may still arrive.
func (a *attempt) onIdleTimeout() {
	e := a.exchange
	decision := silenceRetried
	if !e.forwarder.options.Budget.Take(time.Now(), e.call.Upstream) {
		decision = silenceBorne
	}
	e.forwarder.metrics.silences.WithLabelValues(e.call.Upstream, string(decision)).Inc()
	e.forwarder.options.Log.Write(&replicaSilent{attempt: a, decision: decision})
	if decision == silenceRetried {
		a.idleTimedOut.Store(true)
		a.conn.Close()
	}
}

// silenceDecision is what follows from a replica's silence.
type silenceDecision string

const (
	// silenceRetried means that the call is tried at another replica.
	silenceRetried silenceDecision = "retried"
	// silenceBorne means that the call waits on: the retry budget is spent.
	silenceBorne silenceDecision = "retry_budget_spent"
)

// replicaSilent is logged for an attempt whose replica has sent nothing for the idle timeout.
type replicaSilent struct {
	attempt  *attempt
	decision silenceDecision
}

func (*replicaSilent) Name() string { return "replica_silent" }

func (*replicaSilent) Level() eventlog.Level { return eventlog.Notable }

func (ev *replicaSilent) Fields() eventlog.Fields {
	a := ev.attempt
	return eventlog.Fields{
		"request": a.exchange.call.ID, "upstream": a.exchange.call.Upstream,
		"replica": a.placementAttempt.Replica.ID, "peer": a.placementAttempt.Replica.Address,
		"decision": ev.decision, "left_ms": time.Until(a.exchange.call.Deadline).Milliseconds(),
	}
}

// stopIdleTimer stops the idle timer and reports whether the connection can be
// reused. If the timer has already fired, the connection may be closed at any
// moment and must not serve another call.
func (a *attempt) stopIdleTimer() bool {
	return !a.idleTimerArmed || a.idleTimer.Stop()
}
