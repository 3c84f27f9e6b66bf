package replica

import (
	"maps"
	"slices"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
)

const (
	// outageGap is the time between two reads from which the store counts as unavailable: reads
	// are made at least once a second.
	outageGap = 2 * time.Second
	// outageGrace is how long a replica that is missing after an outage is kept. The platform
	// states that registrations that expired in an outage return about two seconds after it.
	outageGrace = 2 * time.Second
)

// Set is the set of known replicas. It is safe for concurrent use.
type Set struct {
	mu               sync.RWMutex
	listing          Listing
	readAt           boottime.Instant
	keepMissingUntil boottime.Instant
	// deltas are the differences between successive listings up to the current one, oldest first.
	deltas []Delta
	// known is the replicas of the listing and those kept after an outage, by ID.
	known      map[string]Replica
	byUpstream map[string][]Replica
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{known: make(map[string]Replica), byUpstream: make(map[string][]Replica)}
}

// Update replaces the current listing by one whose read began at readAt, and returns the
// changes. A listing with an older revision is ignored.
func (s *Set) Update(l Listing, readAt, now boottime.Instant) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Revision < s.listing.Revision {
		return nil
	}
	if s.readAt != 0 && readAt.Sub(s.readAt) > outageGap {
		s.keepMissingUntil = now.Add(outageGrace)
	}
	s.readAt = max(s.readAt, readAt)
	if l.Digest == 0 {
		l.Digest = Digest(l.Replicas)
	}
	if l.Digest != s.listing.Digest {
		s.rememberDelta(l)
	} else if len(s.known) == len(l.Replicas) {
		// Every exchange with another node confirms the current listing; skip the comparison of all
		// replicas.
		s.listing = l
		return nil
	}
	s.listing = l
	return s.setKnown(s.withMissing(now))
}

// withMissing returns the replicas of the listing and, within outageGrace, those that are
// missing from it. The lock is held.
func (s *Set) withMissing(now boottime.Instant) map[string]Replica {
	next := make(map[string]Replica, len(s.listing.Replicas))
	for _, r := range s.listing.Replicas {
		next[r.ID] = r
	}
	if now.Sub(s.keepMissingUntil) >= 0 {
		return next
	}
	for id, r := range s.known {
		if _, listed := next[id]; !listed {
			next[id] = r
		}
	}
	return next
}

// setKnown replaces the known replicas and returns the changes. The lock is held.
func (s *Set) setKnown(next map[string]Replica) []Change {
	var changes []Change
	for id, r := range next {
		old, had := s.known[id]
		switch {
		case !had:
			changes = append(changes, Change{Replica: r, Kind: Added})
		case r.StartedAt != old.StartedAt:
			changes = append(changes, Change{Replica: old, Kind: Removed}, Change{Replica: r, Kind: Added})
		case r.Draining && !old.Draining:
			changes = append(changes, Change{Replica: r, Kind: StartedDraining})
		}
	}
	for id, r := range s.known {
		if _, has := next[id]; !has {
			changes = append(changes, Change{Replica: r, Kind: Removed})
		}
	}
	if maps.Equal(s.known, next) {
		return nil
	}
	s.known = next
	s.byUpstream = groupByUpstream(next)
	return changes
}

// groupByUpstream lists the replicas by upstream, sorted by ID so that all nodes have the same
// order.
func groupByUpstream(known map[string]Replica) map[string][]Replica {
	grouped := make(map[string][]Replica)
	for _, id := range slices.Sorted(maps.Keys(known)) {
		r := known[id]
		grouped[r.Upstream] = append(grouped[r.Upstream], r)
	}
	return grouped
}

// ForUpstream returns the upstream's replicas, including draining ones. Callers must not
// modify the slice.
func (s *Set) ForUpstream(upstream string) []Replica {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byUpstream[upstream]
}

// Usable reports whether the replica is known and not draining.
func (s *Set) Usable(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.known[id]
	return ok && !r.Draining
}

// HasProcess reports whether the replica is known with this process start time.
func (s *Set) HasProcess(id string, startedAt int64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.known[id]
	return ok && r.StartedAt == startedAt
}

// Latest returns the newest listing and when its read began; zero values before the first.
func (s *Set) Latest() (Listing, boottime.Instant) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.listing, s.readAt
}

// HasListing reports whether any listing has been read.
func (s *Set) HasListing() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.readAt != 0
}
