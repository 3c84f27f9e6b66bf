package passthrough

import (
	"time"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/streamorigin"
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

// originResolved is logged for a call that resumes a stream.
type originResolved struct {
	call       *forward.Call
	resolution streamorigin.Resolution
}

// Name implements eventlog.Event.
func (*originResolved) Name() string { return "stream_origin_resolved" }

// Level implements eventlog.Event.
func (*originResolved) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *originResolved) Fields() eventlog.Fields {
	r := &e.resolution
	fields := eventlog.Fields{
		"request": e.call.ID, "route": e.call.Route.Name, "resumes": e.call.Resumes, "after_event": e.call.LastEventID,
		"source": r.Source, "upstream": r.Upstream, "version": r.Version, "ms": r.Took.Milliseconds(),
		"asked": r.Asked, "answered": r.Answered, "versions": r.Versions, "complete": r.Complete, "replicas_age_ms": r.ListingAge.Milliseconds(),
	}
	if r.StoreErr != nil {
		fields["store_error"] = r.StoreErr.Error()
	}
	return fields
}
