package duty

import (
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/lease"
)

// gained is logged when this node becomes the holder.
type gained struct {
	node  string
	fence int64
}

// Name implements eventlog.Event.
func (*gained) Name() string { return "duties_gained" }

// Level implements eventlog.Event.
func (*gained) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *gained) Fields() eventlog.Fields {
	return eventlog.Fields{"holder": e.node, "fence": e.fence}
}

// lost is logged when this node is no longer the holder.
type lost struct {
	node   string
	fence  int64
	reason lease.EndReason
}

// Name implements eventlog.Event.
func (*lost) Name() string { return "duties_lost" }

// Level implements eventlog.Event.
func (*lost) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *lost) Fields() eventlog.Fields {
	return eventlog.Fields{"holder": e.node, "fence": e.fence, "reason": e.reason}
}
