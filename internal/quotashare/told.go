package quotashare

import "time"

// missedGaps is how many of its usual gaps between two reports a node may miss
// before its demand counts no more.
const missedGaps = 8

// told is what one node told of its demand of one workspace.
type told struct {
	demand float64
	at     time.Time
	// gap is the time between the node's reports of late, zero before the
	// second.
	gap time.Duration
	// contended says that the node was told to ask again soon.
	contended bool
}

// next returns what holds after another report.
func (d told) next(now time.Time, demand float64) told {
	next := told{demand: min(demand, 1), at: now}
	if !d.at.IsZero() {
		next.gap = max(now.Sub(d.at), d.gap/2)
	}
	return next
}

// lease is how long the demand counts. A node that was to ask again soon and
// does not is out of reach; one whose messages are many asks less often.
func (d told) lease(s Settings) time.Duration {
	if !d.contended || d.gap == 0 {
		return s.LeaseTime
	}
	return min(max(s.ContendedLease, missedGaps*d.gap), s.LeaseTime)
}
