package routesource

import (
	"time"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/route"
)

// Taken tells that a configuration came into force. It implements eventlog.Event.
type Taken struct {
	Version int64
	// Admits is who may call the routes that need a key.
	Admits route.Admitted
	// From is the store or the node that it was read from.
	From string
	// Age is how long before it was known to be the newest.
	Age time.Duration
}

// Name implements eventlog.Event.
func (*Taken) Name() string { return "config_taken" }

// Level implements eventlog.Event.
func (*Taken) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *Taken) Fields() eventlog.Fields {
	return eventlog.Fields{"version": e.Version, "admits": e.Admits, "from": e.From, "age_ms": e.Age.Milliseconds()}
}
