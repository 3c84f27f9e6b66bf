package nodesync

import "galenatrestle/internal/boottime"

// Node is what is known of one node.
type Node struct {
	Name             string
	AvailabilityZone string
	// EntryAddress is where callers connect, PeerAddress where nodes do.
	EntryAddress string
	PeerAddress  string
	// Ready nodes serve; leaving ones are about to stop.
	Ready   bool
	Leaving bool
	// ProcessorShare is the part of a core that it has; zero where not known.
	ProcessorShare float32
	// DutyFence is the fencing token of the duties that it holds; zero: it holds none.
	DutyFence int64
	// LastSeen is the latest instant at which it was alive.
	LastSeen boottime.Instant
	// rank is rankOf the name.
	rank uint64
	// unmet nodes were only suggested.
	unmet bool
}

// alike says whether both tell the same of a node, but for the time.
func (n Node) alike(other Node) bool {
	n.LastSeen, n.rank, n.unmet = other.LastSeen, other.rank, other.unmet
	return n == other
}
