package edge

import (
	"time"

	"galenatrestle/internal/nodesync"
)

// backoff is the range of the mean pause between failed reads, which doubles with each
// failure.
type backoff struct {
	initial, maximum time.Duration
}

// startBackoff applies to a node without a copy, which cannot serve requests yet.
var startBackoff = backoff{initial: 100 * time.Millisecond, maximum: 1200 * time.Millisecond}

// backoffByRole applies to nodes that have a copy. Members back off longest, to save store
// calls in an outage: their hub detects the recovery. Failed calls are paid for too: in a fleet of
// 86 nodes each made 25 in an outage of 13 s when members did not wait for their hubs.
var backoffByRole = map[nodesync.Role]backoff{
	nodesync.Peer:         startBackoff,
	nodesync.PrimaryHub:   startBackoff,
	nodesync.SecondaryHub: {initial: 600 * time.Millisecond, maximum: 2400 * time.Millisecond},
	nodesync.Member:       {initial: 2 * time.Second, maximum: 5 * time.Second},
}

// next returns the pause after another failed read; last is zero for the first failure.
func (b backoff) next(last time.Duration) time.Duration {
	return min(max(2*last, b.initial), b.maximum)
}
