package usage

import (
	"time"

	"galenatrestle/internal/eventlog"
)

// reported is the event of one report sent to the platform, with its result.
type reported struct {
	report Report
	fence  int64
	age    time.Duration
	err    error
}

// Name implements eventlog.Event.
func (*reported) Name() string { return "usage_reported" }

// Level implements eventlog.Event.
func (*reported) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *reported) Fields() eventlog.Fields {
	fields := eventlog.Fields{
		"window": e.report.Window, "requests": total(e.report.Requests), "workspaces": len(e.report.Requests),
		"fence": e.fence, "age_ms": e.age.Milliseconds(),
	}
	if e.err != nil {
		fields["error"] = e.err.Error()
	}
	return fields
}

// countsLate is the event of requests counted after their window's sums were fixed.
type countsLate struct {
	source   string
	requests int64
	next     int64
}

// Name implements eventlog.Event.
func (*countsLate) Name() string { return "usage_late" }

// Level implements eventlog.Event.
func (*countsLate) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *countsLate) Fields() eventlog.Fields {
	return eventlog.Fields{"source": e.source, "requests": e.requests, "next_window": e.next}
}

// windowsSkipped is the event of windows that are too old to report.
type windowsSkipped struct{ windows int64 }

// Name implements eventlog.Event.
func (*windowsSkipped) Name() string { return "usage_skipped" }

// Level implements eventlog.Event.
func (*windowsSkipped) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *windowsSkipped) Fields() eventlog.Fields {
	return eventlog.Fields{"windows": e.windows}
}
