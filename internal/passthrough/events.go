package passthrough

import (
	"time"

	"galenatrestle/internal/eventlog"
)

// requestRefused is logged for a request refused before any attempt to send it to a replica.
type requestRefused struct {
	id      string
	host    string
	target  string
	refusal *rejection
	version int64
	age     time.Duration
}

// Name implements eventlog.Event.
func (*requestRefused) Name() string { return "request_refused" }

// Level implements eventlog.Event.
func (*requestRefused) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *requestRefused) Fields() eventlog.Fields {
	return eventlog.Fields{
		"request": e.id, "host": e.host, "target": e.target,
		"reason": e.refusal.reason, "status": e.refusal.status,
		"config_version": e.version, "config_age_ms": e.age.Milliseconds(),
	}
}
