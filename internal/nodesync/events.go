package nodesync

import (
	"time"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/quarantine"
)

// peerFound is logged when a node is seen for the first time, or again after a silence.
type peerFound struct{ node Node }

func (*peerFound) Name() string { return "peer_found" }

func (*peerFound) Level() eventlog.Level { return eventlog.Notable }

func (e *peerFound) Fields() eventlog.Fields {
	return eventlog.Fields{"peer": e.node.Name, "address": e.node.PeerAddress, "ready": e.node.Ready, "leaving": e.node.Leaving}
}

// peerLost is logged when a call to a node fails.
type peerLost struct {
	target target
	err    error
}

func (*peerLost) Name() string { return "peer_lost" }

func (*peerLost) Level() eventlog.Level { return eventlog.Notable }

func (e *peerLost) Fields() eventlog.Fields {
	return eventlog.Fields{"peer": e.target.name, "address": e.target.address, "error": e.err.Error()}
}

// roleChanged is logged when the node's role or the hub that aggregates its loads changes.
type roleChanged struct {
	role       Role
	hub        Node
	hubs       int
	fleetNodes int
}

func (*roleChanged) Name() string { return "role_changed" }

func (*roleChanged) Level() eventlog.Level { return eventlog.Notable }

func (e *roleChanged) Fields() eventlog.Fields {
	return eventlog.Fields{"role": e.role.String(), "hub": e.hub.Name, "hubs": e.hubs, "fleet_nodes": e.fleetNodes}
}

// quarantineReceived is logged when another node tells of a quarantine that this node did not
// have.
type quarantineReceived struct {
	from   string
	record quarantine.Record
	now    time.Time
}

func (*quarantineReceived) Name() string { return "quarantine_received" }

func (*quarantineReceived) Level() eventlog.Level { return eventlog.Notable }

func (e *quarantineReceived) Fields() eventlog.Fields {
	return eventlog.Fields{
		"peer": e.from, "fingerprint": e.record.Fingerprint.String(), "crashes": e.record.Crashes,
		"quarantine_left_ms": e.record.Until.Sub(e.now).Milliseconds(), "crash_age_ms": e.now.Sub(e.record.LastCrash).Milliseconds(),
	}
}
