package ratelimit

import (
	"time"

	"galenatrestle/internal/eventlog"
)

// LimitChanged is logged when a replica announces another limit than before, or none.
type LimitChanged struct {
	Limit Limit
	// Request is the ID of the request whose response carried the change, if this node sent
	// it; otherwise From is the node that reported the change.
	Request string
	From    string
	// Age is the time since that response.
	Age time.Duration
}

// Name implements eventlog.Event.
func (*LimitChanged) Name() string { return "rate_limit_changed" }

// Level implements eventlog.Event.
func (*LimitChanged) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *LimitChanged) Fields() eventlog.Fields {
	fields := eventlog.Fields{"replica": e.Limit.Replica, "lifted": e.Limit.Lifted, "age_ms": e.Age.Milliseconds()}
	if !e.Limit.Lifted {
		fields["per_second"] = e.Limit.PerSecond
	}
	if e.Limit.Brittle.Brittle {
		fields["refusals_per_second"] = e.Limit.Brittle.RefusalsPerSecond
	}
	fields["brittle"] = e.Limit.Brittle.Brittle
	if e.Request != "" {
		fields["request"] = e.Request
	}
	if e.From != "" {
		fields["from"] = e.From
	}
	return fields
}

// slotReportLost is logged when the issuer of a replica's slots did not answer a report.
type slotReportLost struct {
	report *SlotReport
	issuer string
	err    error
}

func (*slotReportLost) Name() string { return "slot_report_lost" }

func (*slotReportLost) Level() eventlog.Level { return eventlog.Notable }

func (e *slotReportLost) Fields() eventlog.Fields {
	return eventlog.Fields{
		"replica": e.report.Replica, "issuer": e.issuer, "ended": len(e.report.Ended), "held": len(e.report.Held),
		"refusals": e.report.Refusals, "error": e.err.Error(),
	}
}
