package nodesync

import "galenatrestle/internal/boottime"

// Node is the known state of one node.
type Node struct {
	Name             string
	AvailabilityZone string
	// EntryAddress is for callers, PeerAddress for other nodes.
	EntryAddress string
	PeerAddress  string
	// Ready nodes serve requests; leaving nodes are about to stop.
	Ready   bool
	Leaving bool
	// ProcessorShare is the processor time available to the node, in cores; zero if
	// unknown.
	ProcessorShare float32
	// DutyFence is the fencing token of the fleet duties that the node has; zero if it
	// has none.
	DutyFence int64
	// LastSeen is the latest instant at which the node is known to have been alive.
	LastSeen boottime.Instant
	// rank is the hashRank of the name.
	rank uint64
	// candidate nodes were added by AddCandidate and have not been seen yet.
	candidate bool
}

// sameState reports whether both have the same state, ignoring LastSeen and internal
// fields.
func (n Node) sameState(other Node) bool {
	n.LastSeen, n.rank, n.candidate = other.LastSeen, other.rank, other.candidate
	return n == other
}
