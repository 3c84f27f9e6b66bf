package nodesync

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/boottime"
)

// In a small fleet each node hears from each other one within a second. In a
// larger one it would hear of a part only, or have to call hundreds of times a
// second. There, hubs add up the loads of some nodes of their availability zone
// each, and are asked for the sum of the fleet by these and for their part by the
// other hubs: load news reach all nodes in two rounds, for a few calls a node. Which
// nodes these are follows from what all know of the nodes; where two differ on it for
// a while, both add up, and nothing is lost but some accuracy.

const (
	// leastNodesWithHubs is the number of nodes from which there are hubs.
	leastNodesWithHubs = 16
	// nodesPerHub bounds the nodes that ask one hub: at 5 times a second and
	// 10 kB an answer that is 1.6 MB a second.
	nodesPerHub = 32
)

// choiceStandsFor is how long the choice of the hubs stands where no node is known
// to have changed: only nodes that fall silent are noticed that late.
const choiceStandsFor = 100 * time.Millisecond

// hubList is the choice of the hubs for a while. It is safe for concurrent use.
type hubList struct {
	mu      sync.Mutex
	hubs    []Node
	at      boottime.Instant
	changes uint64
	leaving bool
}

// hubs are the nodes that add up, those of one availability zone one after the
// other; none in a small fleet. The list is shared and not to be changed.
func (s *Sync) hubs(now boottime.Instant) []Node {
	self := s.options.Self()
	changes := s.options.Nodes.changeCount()
	l := &s.hubList
	l.mu.Lock()
	defer l.mu.Unlock()
	age := now.Sub(l.at)
	if l.at != 0 && age >= 0 && age < choiceStandsFor && l.changes == changes && l.leaving == self.Leaving {
		return l.hubs
	}
	l.hubs, l.at, l.changes, l.leaving = s.chooseHubs(self, now), now, changes, self.Leaving
	return l.hubs
}

// compareForHub orders the nodes of one availability zone, those first that become
// hubs first: the ones that are ready, of these the ones with the most processor, and
// then some that all nodes agree on. Where none is ready, as in an outage of the
// platform's store, there are hubs all the same: without them each node would look
// for the store's return itself.
func compareForHub(a, b *Node) int {
	return cmp.Or(
		compareReady(a, b),
		cmp.Compare(b.ProcessorShare, a.ProcessorShare),
		cmp.Compare(a.rank, b.rank),
	)
}

// compareReady puts ready nodes first.
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

// rankOf orders the nodes; all nodes have the same order.
func rankOf(name string) uint64 { return xxhash.Sum64String(name) }

// hubFor is the one of the hubs that adds up for the node; its name is empty where
// none does.
func hubFor(n Node, hubs []Node) Node {
	var own Node
	var lowest uint64
	for _, hub := range hubs {
		if hub.Name == n.Name {
			return hub
		}
		if hub.AvailabilityZone != n.AvailabilityZone {
			continue
		}
		// Each hub of the zone gets about the same part of its nodes.
		if rank := rankOf(n.Name + hub.Name); own.Name == "" || rank < lowest {
			own, lowest = hub, rank
		}
	}
	return own
}

// Role is a node's part in spreading news.
type Role int

// The roles.
const (
	// Peer nodes are those of a fleet without hubs.
	Peer Role = iota
	// PrimaryHub nodes are the first of their availability zone that add up for others.
	PrimaryHub
	// SecondaryHub nodes add up too, in a zone that is too large for one.
	SecondaryHub
	// Member nodes ask a hub.
	Member
)

// addsUp says whether a node of the role adds up for others.
func (r Role) addsUp() bool { return r == PrimaryHub || r == SecondaryHub }

// Role is this node's part now.
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
