package nodesync

import (
	"time"

	"galenatrestle/internal/boottime"
)

const (
	// keepWholeTime is how long a node that kept the whole listing goes on to keep it, in case
	// it becomes a hub again.
	keepWholeTime = 30 * time.Second
	// roleSettleTime is how long a node must have its role to keep the whole listing. A node that
	// starts in a large fleet has no hub at first, and may be one until it knows the others.
	roleSettleTime = 2 * time.Second
)

// listingScope tracks whether this node keeps the whole replica listing. It is not safe for
// concurrent use.
type listingScope struct {
	role Role
	// since is when the node got its role.
	since boottime.Instant
	// neededAt is when the node's role last required the whole listing; zero: never.
	neededAt boottime.Instant
}

// keepsWhole reports whether a node of the role keeps the whole listing: hubs do, because they
// tell each member its part, and so do the nodes of a small fleet.
func (l *listingScope) keepsWhole(role Role, now boottime.Instant) bool {
	if role != l.role || l.since == 0 {
		l.role, l.since = role, now
	}
	if role != Member && now.Sub(l.since) >= roleSettleTime {
		l.neededAt = now
	}
	return l.neededAt != 0 && now.Sub(l.neededAt) < keepWholeTime
}

// listingZone returns the availability zone whose part of the replica listing this node keeps;
// empty: it keeps the whole listing.
func (s *Sync) listingZone(now boottime.Instant) string {
	zone := s.options.Replicas.Zone()
	if zone == "" {
		return ""
	}
	role := s.Role()
	if role == Peer && s.FleetSize() >= minNodesForHubs {
		// The node is cut off from the hubs of a larger fleet.
		role = Member
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scope.keepsWhole(role, now) {
		return ""
	}
	return zone
}

// zoneToRequest returns the availability zone whose part of the listing to ask other nodes for; empty:
// the whole listing. A node that has none asks for its part first, which arrives sooner.
func (s *Sync) zoneToRequest(now boottime.Instant) string {
	zone := s.listingZone(now)
	if !s.options.Replicas.HasListing() {
		return s.options.Replicas.Zone()
	}
	return zone
}

// KeepsWholeListing reports whether this node keeps the whole replica listing.
func (s *Sync) KeepsWholeListing() bool { return s.listingZone(s.options.Clock()) == "" }
