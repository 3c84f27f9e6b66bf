package zonetraffic

import "galenatrestle/internal/eventlog"

// ShareChanged reports a change of the part of a flow that may leave its zone.
type ShareChanged struct {
	Upstream, Flow, Home string
	Change               Change
}

// Name implements eventlog.Event.
func (*ShareChanged) Name() string { return "zone_share_changed" }

// Level implements eventlog.Event. It is routine: at high rates other events matter more.
func (*ShareChanged) Level() eventlog.Level { return eventlog.Routine }

// Fields implements eventlog.Event.
func (e *ShareChanged) Fields() eventlog.Fields {
	c := &e.Change
	return eventlog.Fields{
		"upstream": e.Upstream, "flow": e.Flow, "from": e.Home, "to": c.To, "share": c.Share, "previous": c.From, "reason": c.Reason,
		"home_wait_ms": c.HomeWaitMS, "away_wait_ms": c.AwayWaitMS, "leave_ms": c.LeaveMS, "room": c.Room, "age_ms": c.Age.Milliseconds(),
	}
}
