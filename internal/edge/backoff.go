package edge

import (
	"time"

	"galenatrestle/internal/nodesync"
)

// backoff is the range of the mean pause between failed reads, which doubles with each
// failure.
type backoff struct {
	first, longest time.Duration
}

// startBackoff is for a node without a copy, which cannot serve requests yet.
var startBackoff = backoff{first: 100 * time.Millisecond, longest: 1200 * time.Millisecond}

// backoffs are for nodes that have a copy. Members back off longest, to save store calls
// in an outage: their hub detects the recovery.
var backoffs = map[nodesync.Role]backoff{
	nodesync.Peer:         startBackoff,
	nodesync.PrimaryHub:   startBackoff,
	nodesync.SecondaryHub: {first: 600 * time.Millisecond, longest: 2400 * time.Millisecond},
	nodesync.Member:       {first: 2 * time.Second, longest: 5 * time.Second},
}

// next returns the pause after another failed read; last is zero for the first failure.
func (b backoff) next(last time.Duration) time.Duration {
	return min(max(2*last, b.first), b.longest)
}
