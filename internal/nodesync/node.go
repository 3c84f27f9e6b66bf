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
	// HeardAt is the latest instant at which it was alive.
	HeardAt boottime.Instant
}
