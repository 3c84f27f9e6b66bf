package nodesync

import "galenatrestle/internal/eventlog"

// peerFound tells that a node was heard of for the first time, or again.
type peerFound struct{ node Node }

// Name implements eventlog.Event.
func (*peerFound) Name() string { return "peer_found" }

// Level implements eventlog.Event.
func (*peerFound) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *peerFound) Fields() eventlog.Fields {
	return eventlog.Fields{"peer": e.node.Name, "address": e.node.PeerAddress, "ready": e.node.Ready, "leaving": e.node.Leaving}
}

// peerLost tells that a node did not answer.
type peerLost struct {
	target target
	err    error
}

// Name implements eventlog.Event.
func (*peerLost) Name() string { return "peer_lost" }

// Level implements eventlog.Event.
func (*peerLost) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *peerLost) Fields() eventlog.Fields {
	return eventlog.Fields{"peer": e.target.name, "address": e.target.address, "error": e.err.Error()}
}
