package crashcause

import "galenatrestle/internal/eventlog"

// CauseChanged is logged for each change of what this node takes for the cause of crashes.
type CauseChanged struct{ Change Change }

// Name implements eventlog.Event.
func (*CauseChanged) Name() string { return "crash_cause_changed" }

// Level implements eventlog.Event.
func (*CauseChanged) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *CauseChanged) Fields() eventlog.Fields {
	c := e.Change.Cause
	kind := "content"
	if c.Factor.isPart() {
		kind = "part"
	}
	return eventlog.Fields{
		"cause": c.Factor.String(), "kind": kind, "crashes": c.Crashes, "ended": e.Change.Ended, "own_calls": e.Change.IsLocal,
	}
}
