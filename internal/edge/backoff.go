package edge

import (
	"time"

	"galenatrestle/internal/nodesync"
)

// backoff is the mean pauses between failed reads: they double from the first to
// the longest.
type backoff struct {
	first, longest time.Duration
}

// startBackoff is that of a node without a copy: it cannot serve, and asks again
// soon.
var startBackoff = backoff{first: 100 * time.Millisecond, longest: 1200 * time.Millisecond}

// backoffs are those of a node that has a copy. Each call of the store is paid for,
// the failed ones too: 25 a node in outages of 13 s of a fleet of 86, before members
// left it to their hub to notice the store's return.
var backoffs = map[nodesync.Role]backoff{
	nodesync.Peer:         startBackoff,
	nodesync.PrimaryHub:   startBackoff,
	nodesync.SecondaryHub: {first: 600 * time.Millisecond, longest: 2400 * time.Millisecond},
	nodesync.Member:       {first: 2 * time.Second, longest: 5 * time.Second},
}

// next is the pause after one more failed read; last is zero after the first.
func (b backoff) next(last time.Duration) time.Duration {
	return min(max(2*last, b.first), b.longest)
}
