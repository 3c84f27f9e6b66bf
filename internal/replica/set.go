package replica

import (
	"sync"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/platform"
)

const (
	// outageGap is the time between two reads from which the store counts as unavailable: reads
	// are made at least once a second.
	outageGap = 2 * time.Second
	// outageGrace is how long a replica that is missing after an outage is kept. The platform
	// states that registrations that expired in an outage return about two seconds after it.
	// It also applies after the store was restored from an older copy.
	outageGrace = 2 * time.Second
)

// Set is the set of known replicas. It is safe for concurrent use.
type Set struct {
	// zone is the availability zone whose part of the listing this node uses; empty: it uses all
	// replicas.
	zone string

	mu sync.RWMutex
	history
	// part is the history of the part of the listing if divided is set: the listing is whole and has a
	// large upstream. It is followed if partWanted is set: nodes use or have asked for the part.
	part                history
	divided, partWanted bool
	partSizes           PartSizes
	readAt              boottime.Instant
	keepMissingUntil    boottime.Instant
	// known is the replicas of the listing and those kept after an outage, ordered by ID. adjusted is
	// set if it differs from the listing.
	known    []Replica
	adjusted bool
	// leaving has the processes that said themselves that they are leaving.
	leaving map[Process]bool
	// byUpstream is the known replicas that this node uses.
	byUpstream map[string][]Replica
}

// NewSet returns an empty set of which this node uses all replicas.
func NewSet() *Set { return NewZoneSet("") }

// NewZoneSet returns an empty set of which this node uses the part of the availability zone.
func NewZoneSet(zone string) *Set {
	return &Set{zone: zone, partWanted: zone != "", leaving: make(map[Process]bool), byUpstream: make(map[string][]Replica)}
}

// Update replaces the current listing by one whose read began at readAt, and returns the
// changes. A listing with an older revision is ignored, unless it confirms the current one.
func (s *Set) Update(l Listing, readAt, now boottime.Instant) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Revision < s.listing.Revision {
		if !s.confirms(l) {
			return nil
		}
		l.Revision = s.listing.Revision
	}
	if s.readAt != 0 && (readAt.Sub(s.readAt) > outageGap || s.wasRestored(l)) {
		s.keepMissingUntil = now.Add(outageGrace)
	}
	s.readAt = max(s.readAt, readAt)
	confirmed := l.Digest != 0 && l.Digest == s.listing.Digest
	if confirmed {
		l.Replicas = s.listing.Replicas
	} else {
		l = l.Ordered()
		confirmed = l.Digest == s.listing.Digest
	}
	s.advance(l)
	if confirmed && !s.adjusted {
		// Every exchange with another node confirms the current listing; skip the comparison of all
		// replicas.
		return nil
	}
	if !confirmed {
		s.updatePart()
	}
	return s.setKnown(s.withMissing(now))
}

// confirms reports whether the listing has the same replicas as the current one. The revision of a
// listing that follows the changes is that of the last change; one that was listed anew at the same
// time has the newer revision of the store. The lock is held.
func (s *Set) confirms(l Listing) bool {
	return l.Digest != 0 && l.Digest == s.listing.Digest && l.Zone == s.listing.Zone &&
		platform.Position(l.Revision).Era() == platform.Position(s.listing.Revision).Era()
}

// wasRestored reports whether the store was restored from an older copy between the current listing
// and the next one. The lock is held.
func (s *Set) wasRestored(next Listing) bool {
	return platform.Position(next.Revision).Era() > platform.Position(s.listing.Revision).Era()
}

// withMissing returns the replicas of the listing and, within outageGrace, those that are missing
// from it. A process that was seen draining goes on to drain, also if an older copy of the store
// tells otherwise. The lock is held.
func (s *Set) withMissing(now boottime.Instant) []Replica {
	s.adjusted = false
	if now.Sub(s.keepMissingUntil) >= 0 {
		return s.listing.Replicas
	}
	next := make([]Replica, 0, max(len(s.known), len(s.listing.Replicas)))
	pairs(s.known, s.listing.Replicas, func(known, listed *Replica) {
		if listed == nil {
			s.adjusted = true
			next = append(next, *known)
			return
		}
		r := *listed
		if !r.Draining && known != nil && known.Draining && known.StartedAt == r.StartedAt {
			s.adjusted, r.Draining = true, true
		}
		next = append(next, r)
	})
	return next
}

// setKnown replaces the known replicas and returns the changes. The lock is held.
func (s *Set) setKnown(next []Replica) []Change {
	var changes []Change
	differ := false
	pairs(s.known, next, func(old, r *Replica) {
		differ = differ || old == nil || r == nil || *old != *r
		switch {
		case old == nil:
			changes = append(changes, Change{Replica: *r, Kind: Added})
		case r == nil:
			changes = append(changes, Change{Replica: *old, Kind: Removed})
		case r.StartedAt != old.StartedAt:
			changes = append(changes, Change{Replica: *old, Kind: Removed}, Change{Replica: *r, Kind: Added})
		case r.Draining && !old.Draining:
			changes = append(changes, Change{Replica: *r, Kind: StartedDraining})
		}
	})
	s.known = next
	if differ {
		s.group()
	}
	return changes
}

// group computes byUpstream anew. The lock is held.
func (s *Set) group() {
	used := s.known
	switch {
	case s.zone == "" || !s.divided:
	case s.adjusted:
		used, _ = partOf(s.known, s.partSizes)
	default:
		used = s.part.listing.Replicas
	}
	s.byUpstream = make(map[string][]Replica)
	for _, r := range used {
		r.Draining = s.isDraining(&r)
		s.byUpstream[r.Upstream] = append(s.byUpstream[r.Upstream], r)
	}
}

// ForUpstream returns the upstream's replicas that this node uses, including draining ones.
// Callers must not modify the slice.
func (s *Set) ForUpstream(upstream string) []Replica {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byUpstream[upstream]
}

// Usable reports whether the replica is known and neither draining nor leaving.
func (s *Set) Usable(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := find(s.known, id)
	return ok && !s.isDraining(&r)
}

// HasProcess reports whether the replica is known with this process start time.
func (s *Set) HasProcess(id string, startedAt int64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.isKnown(Process{ID: id, StartedAt: startedAt})
}

// isKnown is HasProcess. The lock is held.
func (s *Set) isKnown(process Process) bool {
	r, ok := find(s.known, process.ID)
	return ok && r.StartedAt == process.StartedAt
}

// Zone returns the availability zone whose part of the listing this node uses; empty: it uses all
// replicas.
func (s *Set) Zone() string { return s.zone }

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
