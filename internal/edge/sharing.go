package edge

import (
	"sync"
	"time"

	"galenatrestle/internal/boottime"
)

const (
	// minAssumedNodes applies while few nodes are known, as just after a start.
	minAssumedNodes = 8
	// marginDivisor adds 1/marginDivisor to the known nodes, for nodes that have joined but
	// are not known everywhere yet.
	marginDivisor = 4
	// entryPart is the part of each limit that the entry nodes of a large fleet share. The rest
	// is for nodes that callers still use or that have just become entry nodes.
	entryPart = 0.5
	// shareTTL is how long the share is reused: it is needed for each request, and counting the
	// nodes takes longer the more there are.
	shareTTL = 100 * time.Millisecond
)

// fleet is what the sharing of limits depends on.
type fleet interface {
	// FleetSize is the number of nodes, MaxEntryNodes the largest number of those that callers
	// are told if they are not told all.
	FleetSize() int
	MaxEntryNodes() int
	IsEntryNode() bool
}

// limitSharing determines this node's share of limits that apply to all nodes together: the
// connections to a replica and the retries. In a large fleet most nodes serve no callers; equal
// shares would leave the entry nodes with a small part of each limit. It is safe for concurrent use.
type limitSharing struct {
	fleet fleet
	clock boottime.Clock

	mu        sync.Mutex
	nodes     int
	countedAt boottime.Instant
}

// nodeCount returns the number by which to divide a limit to get this node's share.
func (l *limitSharing) nodeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if l.countedAt == 0 || now.Sub(l.countedAt) >= shareTTL {
		l.nodes, l.countedAt = assumedNodeCount(l.fleet), now
	}
	return l.nodes
}

// assumedNodeCount returns n such that all shares of 1/n together do not exceed the limit, also with
// some more nodes than are known.
func assumedNodeCount(f fleet) int {
	size := f.FleetSize()
	all := withMargin(size)
	if size <= maxAddresses {
		return int(all)
	}
	share := (1 - entryPart) / all
	if f.IsEntryNode() {
		share += entryPart / withMargin(f.MaxEntryNodes())
	}
	return int(1 / share)
}

// withMargin returns the number of nodes to assume if the given number is known.
func withMargin(known int) float64 {
	return float64(max(known+known/marginDivisor, minAssumedNodes))
}
