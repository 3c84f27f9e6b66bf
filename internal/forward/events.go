package forward

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

type callEnded struct {
	exchange *exchange
	ending   Ending
	took     time.Duration
}

func (*callEnded) Name() string { return "call_ended" }

func (ev *callEnded) Level() eventlog.Level {
	if ev.ending == EndedComplete {
		return eventlog.Routine
	}
	return eventlog.Notable
}

func (ev *callEnded) Fields() eventlog.Fields {
	e := ev.exchange
	fields := e.fields()
	fields["ending"] = ev.ending
	fields["ms"] = ev.took.Milliseconds()
	fields["bytes"] = e.callerResponse.bytes
	if !e.firstByteAt.IsZero() {
		fields["first_byte_ms"] = e.firstByteAt.Sub(e.call.Arrived).Milliseconds()
		fields["longest_pause_ms"] = e.longestPause.Milliseconds()
	}
	if ev.ending != EndedComplete && e.lastFailure != nil {
		fields["error"] = e.lastFailure.Error()
	}
	e.returning.addFields(fields)
	e.addVerdict(fields)
	if ev.ending == EndedQuarantined {
		fields["quarantine_left_ms"] = e.admission.left.Milliseconds()
	}
	return fields
}

// fields returns the log fields common to the events of a call.
func (e *exchange) fields() eventlog.Fields {
	fields := eventlog.Fields{
		"request":      e.call.ID,
		"route":        e.call.Route.Name,
		"upstream":     e.call.Upstream,
		"workspace":    e.call.workspace(),
		"replica":      e.lastReplicaID,
		"attempts":     e.attempts,
		"may_have_run": e.possibleRuns,
		"left_ms":      time.Until(e.call.Deadline).Milliseconds(),
	}
	if e.lastVia != "" {
		fields["via"] = e.lastVia
	}
	return fields
}

// addVerdict adds the crash guard's decision on a call that is suspected of crashing replicas.
func (e *exchange) addVerdict(fields eventlog.Fields) {
	if e.admission.verdict != quarantine.Normal {
		fields["fingerprint"] = e.fingerprint.String()
		fields["verdict"] = e.admission.verdict
	}
	cause := e.admission.cause
	if cause.Verdict == crashcause.Normal {
		return
	}
	fields["cause_verdict"], fields["cause"] = cause.Verdict, cause.Factor.String()
	for _, part := range e.sharedParts {
		if crashcause.PartFactor(e.call.Upstream, part) == cause.Factor {
			fields["part"] = part.String()
		}
	}
}

type attemptFailed struct {
	exchange *exchange
	failure  *Failure
}

func (*attemptFailed) Name() string { return "attempt_failed" }

func (*attemptFailed) Level() eventlog.Level { return eventlog.Notable }

func (ev *attemptFailed) Fields() eventlog.Fields {
	fields := ev.exchange.fields()
	fields["error"] = ev.failure.Error()
	fields["step"] = ev.failure.Step
	fields["peer"] = ev.failure.Peer
	fields["not_run"] = ev.failure.NotRun
	return fields
}

type retryDecided struct {
	exchange *exchange
	failure  *Failure
	reason   stopReason
}

func (*retryDecided) Name() string { return "retry_decided" }

func (*retryDecided) Level() eventlog.Level { return eventlog.Notable }

func (ev *retryDecided) Fields() eventlog.Fields {
	e := ev.exchange
	fields := e.fields()
	fields["retry"] = ev.reason == ""
	fields["reason"] = ev.reason
	usage := e.forwarder.options.Budget.Usage(time.Now(), e.call.Upstream)
	fields["budget_left"] = usage.Remaining
	fields["budget_requests"] = usage.Requests
	fields["budget_retries"] = usage.Retries
	return fields
}

// replicaCrashed is logged for a crash of a replica that ran calls of this node, which are ended. records
// are those that changed, one per distinct call.
type replicaCrashed struct {
	replica replica.Replica
	ended   []quarantine.EndedRun
	records []quarantine.Record
	now     time.Time
}

func (*replicaCrashed) Name() string { return "replica_crashed" }

func (*replicaCrashed) Level() eventlog.Level { return eventlog.Notable }

func (ev *replicaCrashed) Fields() eventlog.Fields {
	fingerprints := []string{}
	for _, r := range ev.records[:min(len(ev.records), maxLoggedFingerprints)] {
		fingerprints = append(fingerprints, r.Fingerprint.String())
	}
	return eventlog.Fields{
		"replica": ev.replica.ID, "upstream": ev.replica.Upstream, "address": ev.replica.Address,
		"running": len(ev.ended), "answering": ev.answering(), "suspects": len(ev.records), "quarantined": ev.quarantined(), "fingerprints": fingerprints,
		"parts": ev.parts(),
	}
}

// answering counts the calls whose answers had begun.
func (ev *replicaCrashed) answering() int {
	count := 0
	for _, run := range ev.ended {
		if run.Answering {
			count++
		}
	}
	return count
}

// parts returns the parts of the prompts that most of the calls shared, with the number of calls.
func (ev *replicaCrashed) parts() map[string]int {
	counts := make(map[quarantine.PromptPart]int)
	for _, run := range ev.ended {
		for _, part := range run.Parts {
			counts[part]++
		}
	}
	byCount := slices.SortedFunc(maps.Keys(counts), func(a, b quarantine.PromptPart) int {
		return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b))
	})
	parts := make(map[string]int)
	for _, part := range byCount[:min(len(byCount), maxLoggedParts)] {
		parts[part.String()] = counts[part]
	}
	return parts
}

// quarantined counts the calls that are quarantined after the crash.
func (ev *replicaCrashed) quarantined() int {
	count := 0
	for _, r := range ev.records {
		if r.Until.After(ev.now) {
			count++
		}
	}
	return count
}

// maxLoggedFingerprints and maxLoggedParts bound the length of a line.
const (
	maxLoggedFingerprints = 8
	maxLoggedParts        = 16
)

// crashNotConfirmed is logged if a replica broke a connection and did not refuse a new one. err is
// that of the new connection; nil: it was accepted.
type crashNotConfirmed struct {
	replica     replica.Replica
	fingerprint quarantine.Fingerprint
	err         error
}

func (*crashNotConfirmed) Name() string { return "crash_not_confirmed" }

func (*crashNotConfirmed) Level() eventlog.Level { return eventlog.Notable }

func (ev *crashNotConfirmed) Fields() eventlog.Fields {
	fields := eventlog.Fields{
		"replica": ev.replica.ID, "upstream": ev.replica.Upstream, "address": ev.replica.Address,
		"fingerprint": ev.fingerprint.String(), "accepted": ev.err == nil,
	}
	if ev.err != nil {
		fields["error"] = ev.err.Error()
	}
	return fields
}

// replicaNotice is logged for a response in which a replica says that it is leaving, or asks
// for a pause. revision and age are those of the registrations that this node uses.
type replicaNotice struct {
	attempt  *attempt
	notice   string
	revision int64
	age      time.Duration
}

func (*replicaNotice) Name() string { return "replica_notice" }

func (*replicaNotice) Level() eventlog.Level { return eventlog.Notable }

func (ev *replicaNotice) Fields() eventlog.Fields {
	a := ev.attempt
	fields := eventlog.Fields{
		"notice": ev.notice, "request": a.exchange.call.ID, "upstream": a.exchange.call.Upstream,
		"replica": a.placementAttempt.Replica.ID, "peer": a.placementAttempt.Replica.Address, "attempt": a.exchange.attempts,
		"status": a.response.StatusCode, "replicas_revision": ev.revision, "replicas_age_ms": ev.age.Milliseconds(),
	}
	if ev.notice == noticeBrittle {
		fields["refusals_per_second"] = a.headers.Brittle.RefusalsPerSecond
	}
	if ev.notice == noticePause {
		fields["retry_after_ms"] = a.headers.RetryAfter.Milliseconds()
	}
	return fields
}

// replicaRefused is logged when a replica refuses a request without running it. takenFor is what this
// node took the replica for when it chose it.
type replicaRefused struct {
	attempt  *attempt
	takenFor string
}

func (*replicaRefused) Name() string { return "replica_refused" }

func (*replicaRefused) Level() eventlog.Level { return eventlog.Notable }

func (ev *replicaRefused) Fields() eventlog.Fields {
	a := ev.attempt
	fields := eventlog.Fields{
		"request": a.exchange.call.ID, "upstream": a.exchange.call.Upstream, "attempt": a.exchange.attempts,
		"replica": a.placementAttempt.Replica.ID, "peer": a.placementAttempt.Replica.Address, "status": a.response.StatusCode,
		"taken_for": ev.takenFor, "running": a.placementAttempt.Choice.Running, "slots": a.placementAttempt.Replica.Slots,
	}
	if a.knownBrittle {
		fields["brittle_age_ms"] = a.brittleAge.Milliseconds()
	}
	return fields
}

type permitRequested struct {
	exchange *exchange
	replica  string
	// waits is how long the call waits for a slot of a brittle replica.
	waits  time.Duration
	result ratelimit.AcquireResult
}

func (*permitRequested) Name() string { return "permit_asked" }

func (ev *permitRequested) Level() eventlog.Level {
	if ev.result.Err != nil {
		return eventlog.Notable
	}
	return eventlog.Routine
}

func (ev *permitRequested) Fields() eventlog.Fields {
	acquired := &ev.result
	fields := eventlog.Fields{
		"request": ev.exchange.call.ID, "upstream": ev.exchange.call.Upstream, "attempt": ev.exchange.attempts, "replica": ev.replica,
		"issuer": acquired.Grant.Issuer, "rate_limit": acquired.Limit.PerSecond, "age_ms": acquired.Age.Milliseconds(),
		"given": acquired.Granted(), "retry_after_ms": acquired.Grant.RetryAfter.Milliseconds(),
	}
	if acquired.Limit.Brittle.Brittle {
		fields["slot"], fields["waits_ms"], fields["refusals_per_second"] = acquired.Slot, ev.waits.Milliseconds(), acquired.Limit.Brittle.RefusalsPerSecond
	}
	if acquired.Err != nil {
		fields["error"] = acquired.Err.Error()
	}
	return fields
}

func roundToHundredths(x float64) float64 { return math.Round(x*100) / 100 }
