package fairshare

import (
	"math"

	"galenatrestle/internal/eventlog"
)

// ShareChanged is logged for each change.
type ShareChanged struct{ Change Change }

// Name implements eventlog.Event.
func (*ShareChanged) Name() string { return "workspace_share_changed" }

// Level implements eventlog.Event.
func (*ShareChanged) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *ShareChanged) Fields() eventlog.Fields {
	c := e.Change
	fields := eventlog.Fields{
		"upstream": c.Upstream, "workspace": c.Workspace, "above": c.Above, "share": math.Round(c.Share*100) / 100,
		"asked": int(c.Cost.Asked), "started": int(c.Cost.Started), "started_by_all": int(c.Capacity),
		"queue_excess": math.Round(c.QueueExcess*100) / 100, "workspaces": c.Workspaces, "age_ms": c.Age.Milliseconds(),
	}
	if !math.IsInf(c.Level, 0) {
		fields["fair_part"] = int(c.Level)
	}
	return fields
}
