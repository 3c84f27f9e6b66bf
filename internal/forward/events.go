package forward

import (
	"math"
	"time"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

// answerEnded tells how a call ended.
type answerEnded struct {
	exchange *exchange
	ending   Ending
	took     time.Duration
}

// Name implements eventlog.Event.
func (*answerEnded) Name() string { return "call_ended" }

// Level implements eventlog.Event.
func (ev *answerEnded) Level() eventlog.Level {
	if ev.ending == EndedComplete {
		return eventlog.Routine
	}
	return eventlog.Notable
}

// Fields implements eventlog.Event.
func (ev *answerEnded) Fields() eventlog.Fields {
	e := ev.exchange
	fields := e.fields()
	fields["ending"] = ev.ending
	fields["ms"] = ev.took.Milliseconds()
	fields["bytes"] = e.outlet.bytes
	if !e.firstByte.IsZero() {
		fields["first_byte_ms"] = e.firstByte.Sub(e.call.Arrived).Milliseconds()
		fields["longest_pause_ms"] = e.longestPause.Milliseconds()
	}
	if ev.ending != EndedComplete && e.last != nil {
		fields["error"] = e.last.Error()
	}
	return fields
}

// fields names the call and how far it has come.
func (e *exchange) fields() eventlog.Fields {
	return eventlog.Fields{
		"request":      e.call.ID,
		"route":        e.call.Route.Name,
		"upstream":     e.call.Upstream,
		"replica":      e.replica,
		"attempts":     e.attempts,
		"may_have_run": e.mayHaveRun,
		"left_ms":      time.Until(e.call.Deadline).Milliseconds(),
	}
}

// attemptFailed tells why an attempt brought no whole answer.
type attemptFailed struct {
	exchange *exchange
	failure  *Failure
}

// Name implements eventlog.Event.
func (*attemptFailed) Name() string { return "attempt_failed" }

// Level implements eventlog.Event.
func (*attemptFailed) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (ev *attemptFailed) Fields() eventlog.Fields {
	fields := ev.exchange.fields()
	fields["error"] = ev.failure.Error()
	fields["step"] = ev.failure.Step
	fields["peer"] = ev.failure.Peer
	fields["not_run"] = ev.failure.NotRun
	return fields
}

// retryDecided tells whether another attempt follows.
type retryDecided struct {
	exchange *exchange
	failure  *Failure
	reason   stopReason
}

// Name implements eventlog.Event.
func (*retryDecided) Name() string { return "retry_decided" }

// Level implements eventlog.Event.
func (*retryDecided) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (ev *retryDecided) Fields() eventlog.Fields {
	e := ev.exchange
	fields := e.fields()
	fields["retry"] = ev.reason == ""
	fields["reason"] = ev.reason
	fields["budget_left"] = e.forwarder.options.Budget.Remaining(time.Now(), e.call.Upstream)
	return fields
}

// replicaCrashed tells that a replica crashed while calls of this node ran there.
type replicaCrashed struct {
	replica replica.Replica
	running int
	records []quarantine.Record
	now     time.Time
}

// Name implements eventlog.Event.
func (*replicaCrashed) Name() string { return "replica_crashed" }

// Level implements eventlog.Event.
func (*replicaCrashed) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (ev *replicaCrashed) Fields() eventlog.Fields {
	quarantined := 0
	for _, r := range ev.records {
		if r.Until.After(ev.now) {
			quarantined++
		}
	}
	return eventlog.Fields{
		"replica": ev.replica.ID, "upstream": ev.replica.Upstream, "address": ev.replica.Address,
		"running": ev.running, "quarantined": quarantined,
	}
}

// attemptStarted tells which replica was chosen, and by what.
type attemptStarted struct {
	exchange *exchange
	place    *placement.Attempt
	revision int64
}

// Name implements eventlog.Event.
func (*attemptStarted) Name() string { return "attempt_started" }

// Level implements eventlog.Event.
func (*attemptStarted) Level() eventlog.Level { return eventlog.Routine }

// Fields implements eventlog.Event.
func (ev *attemptStarted) Fields() eventlog.Fields {
	c := ev.place.Choice
	fields := eventlog.Fields{
		"request": ev.exchange.call.ID, "route": ev.exchange.call.Route.Name, "upstream": ev.exchange.call.Upstream,
		"replica": ev.place.Replica.ID, "peer": ev.place.Replica.Address, "attempt": ev.exchange.attempts,
		"rank": ev.exchange.call.Rank, "workspace": ev.exchange.call.workspace(),
		"cost_ms": int(c.Cost), "wait_ms": c.FirstTokenTime.Milliseconds(), "memory_used": hundredths(c.MemoryFraction), "among": c.Candidates, "running": c.Running, "to_read": c.PendingPrefill, "ahead": c.PrefillAhead,
		"cached": c.CachedTokens, "copy_from": ev.place.CopyFrom, "failures": hundredths(c.FailureScore), "read_speed": hundredths(c.PrefillSpeed), "replicas_revision": ev.revision,
	}
	if limit, limited := ev.exchange.forwarder.options.RateLimits.InForce()[ev.place.Replica.ID]; limited {
		fields["rate_limit"] = limit.PerSecond
	}
	return fields
}

// permitAsked tells what came of an ask for a permit of the replica that was chosen.
type permitAsked struct {
	exchange *exchange
	replica  string
	asked    ratelimit.Asked
}

// Name implements eventlog.Event.
func (*permitAsked) Name() string { return "permit_asked" }

// Level implements eventlog.Event.
func (ev *permitAsked) Level() eventlog.Level {
	if ev.asked.Err != nil {
		return eventlog.Notable
	}
	return eventlog.Routine
}

// Fields implements eventlog.Event.
func (ev *permitAsked) Fields() eventlog.Fields {
	a := &ev.asked
	fields := eventlog.Fields{
		"request": ev.exchange.call.ID, "upstream": ev.exchange.call.Upstream, "attempt": ev.exchange.attempts, "replica": ev.replica,
		"issuer": a.Grant.Issuer, "rate_limit": a.Limit.PerSecond, "age_ms": a.Age.Milliseconds(),
		"given": a.Given(), "retry_after_ms": a.Grant.RetryAfter.Milliseconds(),
	}
	if a.Err != nil {
		fields["error"] = a.Err.Error()
	}
	return fields
}

// hundredths rounds a figure for the log.
func hundredths(x float64) float64 { return math.Round(x*100) / 100 }
