package edge

import (
	"time"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/replica"
)

// storeChanged tells that reads of the store began to fail, or work again.
type storeChanged struct {
	what string
	err  error
}

// Name implements eventlog.Event.
func (e *storeChanged) Name() string {
	if e.err != nil {
		return "store_lost"
	}
	return "store_regained"
}

// Level implements eventlog.Event.
func (*storeChanged) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *storeChanged) Fields() eventlog.Fields {
	fields := eventlog.Fields{"read": e.what}
	if e.err != nil {
		fields["error"] = e.err.Error()
	}
	return fields
}

// storeWatch tells in the log when the reads of one record begin to fail, and when they
// work again. It is for one goroutine.
type storeWatch struct {
	what string
	log  *eventlog.Log
	lost bool
}

// note takes in how a read ended.
func (w *storeWatch) note(err error) {
	if lost := err != nil; lost != w.lost {
		w.lost = lost
		w.log.Write(&storeChanged{what: w.what, err: err})
	}
}

// replicaChanged tells what is believed of a replica from now on.
type replicaChanged struct {
	change   replica.Change
	revision int64
	age      time.Duration
}

// Name implements eventlog.Event.
func (*replicaChanged) Name() string { return "replica_changed" }

// Level implements eventlog.Event.
func (*replicaChanged) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *replicaChanged) Fields() eventlog.Fields {
	r := e.change.Replica
	return eventlog.Fields{
		"replica": r.ID, "upstream": r.Upstream, "address": r.Address, "state": e.change.Kind,
		"revision": e.revision, "age_ms": e.age.Milliseconds(),
	}
}

// lifecycle tells of the process's own start, readiness, reload and stop.
type lifecycle struct {
	name   string
	fields eventlog.Fields
}

// Name implements eventlog.Event.
func (e *lifecycle) Name() string { return e.name }

// Level implements eventlog.Event.
func (*lifecycle) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *lifecycle) Fields() eventlog.Fields { return e.fields }
