package replicapath

import (
	"time"

	"galenatrestle/internal/eventlog"
)

// Reasons for a check.
const (
	reasonConnectFailures = "connect_failures"
	reasonSilence         = "silence"
	reasonCrash           = "replica_crash"
)

// pathLost is logged when a check finds that this node reaches no replica.
type pathLost struct {
	reason string
	// failed are the replicas to which connections failed before the check, probed those that
	// the check tried.
	failed, probed []string
	// waited is how long requests have waited without data from any replica.
	waited time.Duration
	err    error
}

// Name implements eventlog.Event.
func (*pathLost) Name() string { return "replica_path_lost" }

// Level implements eventlog.Event.
func (*pathLost) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *pathLost) Fields() eventlog.Fields {
	return eventlog.Fields{
		"reason": e.reason, "failed": e.failed, "probed": e.probed, "waited_ms": e.waited.Milliseconds(), "error": e.err.Error(),
	}
}

// pathRegained is logged when this node reaches a replica again.
type pathRegained struct {
	lostFor time.Duration
	probed  []string
}

// Name implements eventlog.Event.
func (*pathRegained) Name() string { return "replica_path_regained" }

// Level implements eventlog.Event.
func (*pathRegained) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *pathRegained) Fields() eventlog.Fields {
	return eventlog.Fields{"lost_ms": e.lostFor.Milliseconds(), "probed": e.probed}
}

// helperFailed is logged when another node could not help this one.
type helperFailed struct {
	helper  Helper
	address string
	err     error
}

// Name implements eventlog.Event.
func (*helperFailed) Name() string { return "replica_relay_failed" }

// Level implements eventlog.Event.
func (*helperFailed) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *helperFailed) Fields() eventlog.Fields {
	return eventlog.Fields{"via": e.helper.Name, "address": e.address, "error": e.err.Error()}
}
