package nodesync

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/boottime"
)

// In a small fleet nodes exchange loads directly. In a larger one that would take
// hundreds of calls a second per node. There, each hub sums the loads of a group of nodes
// in its availability zone, members fetch the fleet's sum from their hub, and hubs fetch
// each other's group sums. Loads reach all nodes in three rounds, or in five if only the
// primary hubs call other zones. Each node computes the hubs from its own view of the fleet;
// while views differ, two nodes may aggregate a group, which only makes the sums less accurate.

const (
	// minNodesForHubs is the fleet size from which on there are hubs.
	minNodesForHubs = 16
	// nodesPerHub determines the number of hubs: an availability zone of n nodes has
	// n/nodesPerHub hubs, rounded up. 32 members that call 5 times a second for responses
	// of 10 kB take 1.6 MB a second.
	nodesPerHub = 32
)

// hubCacheTTL is how long the hubs are reused if no node is known to have changed. It
// delays only the detection of silent nodes.
const hubCacheTTL = 100 * time.Millisecond

// hubCache caches the chosen hubs. It is safe for concurrent use.
type hubCache struct {
	mu          sync.Mutex
	hubs        []Node
	chosenAt    boottime.Instant
	nodeChanges uint64
	selfLeaving bool
}

// hubs returns the hubs, grouped by availability zone; none in a small fleet. The slice
// is shared and must not be modified.
func (s *Sync) hubs(now boottime.Instant) []Node {
	self := s.options.Self()
	changes := s.options.Nodes.changeCount()
	cache := &s.hubCache
	cache.mu.Lock()
	defer cache.mu.Unlock()
	age := now.Sub(cache.chosenAt)
	if cache.chosenAt != 0 && age >= 0 && age < hubCacheTTL && cache.nodeChanges == changes && cache.selfLeaving == self.Leaving {
		return cache.hubs
	}
	cache.hubs, cache.chosenAt, cache.nodeChanges, cache.selfLeaving = s.chooseHubs(self, now), now, changes, self.Leaving
	return cache.hubs
}

// compareHubCandidates orders the nodes of one availability zone by preference as hubs.
// Nodes that are not ready are eligible: in an outage of the platform's store no node may
// be ready, and without hubs every node would poll the store.
func compareHubCandidates(a, b *Node) int {
	return cmp.Or(
		compareReady(a, b),
		cmp.Compare(b.ProcessorShare, a.ProcessorShare),
		cmp.Compare(a.rank, b.rank),
	)
}

func compareReady(a, b *Node) int {
	switch {
	case a.Ready == b.Ready:
		return 0
	case a.Ready:
		return -1
	default:
		return 1
	}
}

// hashRank returns a hash that orders nodes identically on all nodes.
func hashRank(name string) uint64 { return xxhash.Sum64String(name) }

// hubFor returns the hub that aggregates the node's loads; its name is empty if there is
// none.
func hubFor(n Node, hubs []Node) Node {
	var ownHub Node
	var lowest uint64
	for _, hub := range hubs {
		if hub.Name == n.Name {
			return hub
		}
		if hub.AvailabilityZone != n.AvailabilityZone {
			continue
		}
		// Rendezvous hashing spreads the nodes evenly over the hubs of their zone.
		if rank := hashRank(n.Name + hub.Name); ownHub.Name == "" || rank < lowest {
			ownHub, lowest = hub, rank
		}
	}
	return ownHub
}

// Role is a node's role in the exchange of state.
type Role int

const (
	// Peer is a node without a hub, as in a small fleet.
	Peer Role = iota
	// PrimaryHub is the first hub of its availability zone.
	PrimaryHub
	// SecondaryHub is a further hub in an availability zone that is too large for one.
	SecondaryHub
	// Member is a node whose loads a hub aggregates.
	Member
)

// String returns the role's name in logs.
func (r Role) String() string {
	switch r {
	case PrimaryHub:
		return "primary_hub"
	case SecondaryHub:
		return "secondary_hub"
	case Member:
		return "member"
	default:
		return "peer"
	}
}

// IsHub reports whether a node of the role aggregates the loads of others.
func (r Role) IsHub() bool { return r == PrimaryHub || r == SecondaryHub }

// hasNode reports whether the node with the name is one of the nodes.
func hasNode(nodes []Node, name string) bool {
	return slices.ContainsFunc(nodes, func(n Node) bool { return n.Name == name })
}

// isFirstOfZone reports whether the hub at the index is the primary one of its availability zone.
func isFirstOfZone(hubs []Node, i int) bool {
	return i == 0 || hubs[i-1].AvailabilityZone != hubs[i].AvailabilityZone
}

// Role returns this node's current role.
func (s *Sync) Role() Role { return roleOf(s.options.Self(), s.hubs(s.options.Clock())) }

func roleOf(n Node, hubs []Node) Role {
	switch hubFor(n, hubs).Name {
	case "":
		return Peer
	case n.Name:
	default:
		return Member
	}
	first := slices.IndexFunc(hubs, func(hub Node) bool { return hub.AvailabilityZone == n.AvailabilityZone })
	if hubs[first].Name == n.Name {
		return PrimaryHub
	}
	return SecondaryHub
}

// logRole logs the role if it or the hub has changed since the last round.
func (s *Sync) logRole() {
	hubs := s.hubs(s.options.Clock())
	self := s.options.Self()
	hub := hubFor(self, hubs)
	role := roleOf(self, hubs)
	s.mu.Lock()
	changed := role != s.loggedRole || hub.Name != s.loggedHub
	s.loggedRole, s.loggedHub = role, hub.Name
	s.mu.Unlock()
	if changed {
		s.options.Log.Write(&roleChanged{role: role, hub: hub, hubs: len(hubs), fleetNodes: s.FleetSize()})
	}
}
