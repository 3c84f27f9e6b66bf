package forward

import (
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
)

// attemptStarted is logged with the chosen replica and the inputs of the choice.
type attemptStarted struct {
	exchange         *exchange
	placementAttempt *placement.Attempt
	revision         int64
}

func (*attemptStarted) Name() string { return "attempt_started" }

func (*attemptStarted) Level() eventlog.Level { return eventlog.Routine }

func (ev *attemptStarted) Fields() eventlog.Fields {
	c := ev.placementAttempt.Choice
	fields := eventlog.Fields{
		"request": ev.exchange.call.ID, "route": ev.exchange.call.Route.Name, "upstream": ev.exchange.call.Upstream,
		"replica": ev.placementAttempt.Replica.ID, "peer": ev.placementAttempt.Replica.Address, "attempt": ev.exchange.attempts,
		"rank": ev.exchange.placementRequest.Rank, "workspace": ev.exchange.call.workspace(),
		"cost_ms": int(c.Cost), "wait_ms": c.FirstTokenTime.Milliseconds(), "memory_used": roundToHundredths(c.MemoryFraction), "among": c.AvailableReplicas, "running": c.Running, "to_read": c.PendingPrefill, "ahead": c.PrefillAhead,
		"cached": c.CachedTokens, "copy_from": ev.placementAttempt.CopyFrom, "failures": roundToHundredths(c.FailureScore), "read_speed": roundToHundredths(c.PrefillSpeed), "replicas_revision": ev.revision,
	}
	if ev.exchange.standing.Above {
		fields["share"] = roundToHundredths(ev.exchange.standing.Share)
	}
	if c.Objective != nil {
		addObjective(fields, c.Objective)
		fields["loads_age_ms"] = c.LoadsAge.Milliseconds()
	}
	if version := ev.placementAttempt.Replica.Version; version != "" {
		fields["version"] = version
	}
	addServiceFields(fields, &c)
	if ev.exchange.lastEventID != "" {
		fields["after_event"] = ev.exchange.lastEventID
	}
	ev.exchange.addVerdict(fields)
	if limit, limited := ev.exchange.forwarder.options.RateLimits.InForce()[ev.placementAttempt.Replica.ID]; limited && !limit.Lifted {
		fields["rate_limit"] = limit.PerSecond
	}
	return fields
}
