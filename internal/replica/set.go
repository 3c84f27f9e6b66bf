package replica

import (
	"maps"
	"slices"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
)

const (
	// outageFrom is the gap between two reads from which the store counts as
	// having been away: a read is made at least every second.
	outageFrom = 2 * time.Second
	// returnTime is how long after such a gap a missing replica is kept. The
	// platform says that registrations which lapsed in an outage are back
	// about two seconds after its end.
	returnTime = 2 * time.Second
)

// Set is the replicas that are known. It is safe for concurrent use.
type Set struct {
	mu       sync.RWMutex
	listing  Listing
	readAt   boottime.Instant
	keepTill boottime.Instant
	// deltas lead from earlier listings to the one in force, oldest first.
	deltas []Delta
	// known holds the replicas of the listing and those kept after an outage.
	known      map[string]Replica
	byUpstream map[string][]Replica
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{known: make(map[string]Replica), byUpstream: make(map[string][]Replica)}
}

// Update puts a listing in force that was read from readAt on, and returns what
// has changed. An older listing than the last is dropped.
func (s *Set) Update(l Listing, readAt, now boottime.Instant) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Revision < s.listing.Revision {
		return nil
	}
	if s.readAt != 0 && readAt.Sub(s.readAt) > outageFrom {
		s.keepTill = now.Add(returnTime)
	}
	s.readAt = max(s.readAt, readAt)
	if l.Digest == 0 {
		l.Digest = Digest(l.Replicas)
	}
	if l.Digest != s.listing.Digest {
		s.remember(l)
	} else if len(s.known) == len(l.Replicas) {
		// The same replicas again and none kept besides: each exchange with
		// another node brings that, and comparing a thousand takes half a
		// millisecond.
		s.listing = l
		return nil
	}
	s.listing = l
	return s.replace(s.next(now))
}

// next is the listing's replicas and those that are kept though missing.
func (s *Set) next(now boottime.Instant) map[string]Replica {
	next := make(map[string]Replica, len(s.listing.Replicas))
	for _, r := range s.listing.Replicas {
		next[r.ID] = r
	}
	if now.Sub(s.keepTill) >= 0 {
		return next
	}
	for id, r := range s.known {
		if _, listed := next[id]; !listed {
			next[id] = r
		}
	}
	return next
}

func (s *Set) replace(next map[string]Replica) []Change {
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
	s.byUpstream = group(next)
	return changes
}

// group lists the replicas by upstream, in the order of their identities so
// that all nodes have the same order.
func group(known map[string]Replica) map[string][]Replica {
	grouped := make(map[string][]Replica)
	for _, id := range slices.Sorted(maps.Keys(known)) {
		r := known[id]
		grouped[r.Upstream] = append(grouped[r.Upstream], r)
	}
	return grouped
}

// ForUpstream returns the upstream's replicas, draining ones included. The slice is
// shared and not to be changed.
func (s *Set) ForUpstream(upstream string) []Replica {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byUpstream[upstream]
}

// Usable says whether a replica may get new requests now.
func (s *Set) Usable(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.known[id]
	return ok && !r.Draining
}

// HasProcess says whether the process of a replica is known.
func (s *Set) HasProcess(id string, startedAt int64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.known[id]
	return ok && r.StartedAt == startedAt
}

// Latest returns the newest listing and when its read began; zero where there
// is none.
func (s *Set) Latest() (Listing, boottime.Instant) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.listing, s.readAt
}

// HasListing says whether a listing was taken.
func (s *Set) HasListing() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.readAt != 0
}
