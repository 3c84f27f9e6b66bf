package ratelimit

import (
	"time"

	"galenatrestle/internal/eventlog"
)

// Changed tells that a replica named another rate than before, or none any more.
type Changed struct {
	Limit Limit
	// Request is the request whose answer said so, where it was this node's; From is the
	// node that told it, where it was another one.
	Request string
	From    string
	// Age is the time since that answer.
	Age time.Duration
}

// Name implements eventlog.Event.
func (*Changed) Name() string { return "rate_limit_changed" }

// Level implements eventlog.Event.
func (*Changed) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *Changed) Fields() eventlog.Fields {
	fields := eventlog.Fields{"replica": e.Limit.Replica, "lifted": e.Limit.Lifted, "age_ms": e.Age.Milliseconds()}
	if !e.Limit.Lifted {
		fields["per_second"] = e.Limit.PerSecond
	}
	if e.Request != "" {
		fields["request"] = e.Request
	}
	if e.From != "" {
		fields["from"] = e.From
	}
	return fields
}

// permitAsked tells what an issuer answered to an ask of this node.
type permitAsked struct {
	issuer string
	limit  Limit
	grant  Grant
	err    error
}

// Name implements eventlog.Event.
func (*permitAsked) Name() string { return "permit_asked" }

// Level implements eventlog.Event.
func (e *permitAsked) Level() eventlog.Level {
	if e.err != nil {
		return eventlog.Notable
	}
	return eventlog.Routine
}

// Fields implements eventlog.Event.
func (e *permitAsked) Fields() eventlog.Fields {
	fields := eventlog.Fields{
		"replica": e.limit.Replica, "issuer": e.issuer, "per_second": e.limit.PerSecond,
		"given": e.grant.Given, "retry_after_ms": e.grant.RetryAfter.Milliseconds(),
	}
	if e.err != nil {
		fields["error"] = e.err.Error()
	}
	return fields
}
