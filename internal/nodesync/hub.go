package nodesync

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/boottime"
	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
)

// In a small fleet each node hears from each other one within a second. In a
// larger one it would hear of a part only, or have to call hundreds of times a
// second. There, one node of each availability zone adds up the load of its zone,
// and is asked for the sum by the zone's nodes and by the other zones' hubs: load
// news reach all nodes in two rounds, for a few calls a node. Which node that is
// follows from the names of those that serve; where two nodes differ on it for a
// while, both add up, and nothing is lost but some accuracy.

// hubsFrom is the number of nodes from which there are hubs.
const hubsFrom = 16

// hubs is the node that adds up for each availability zone, this one included;
// empty: none does.
func (s *Sync) hubs(now boottime.Instant) map[string]Node {
	self := s.options.Self()
	nodes := s.options.Nodes.Serving(now)
	if len(nodes)+1 < hubsFrom {
		return nil
	}
	if !self.Leaving {
		nodes = append(nodes, self)
	}
	hubs := make(map[string]Node)
	for _, n := range nodes {
		hub, found := hubs[n.AvailabilityZone]
		if !found || xxhash.Sum64String(n.Name) < xxhash.Sum64String(hub.Name) {
			hubs[n.AvailabilityZone] = n
		}
	}
	return hubs
}

// hubOf is the node that adds up for the availability zone; its name is empty
// where none does.
func (s *Sync) hubOf(zone string, now boottime.Instant) Node { return s.hubs(now)[zone] }

// Role is a node's part in spreading news.
type Role int

// The roles.
const (
	// Equal nodes are those of a fleet without hubs.
	Equal Role = iota
	// Hub nodes add up for their availability zone.
	Hub
	// Member nodes ask a hub.
	Member
)

// Role is this node's part now.
func (s *Sync) Role() Role { return s.role(s.options.Clock()) }

func (s *Sync) role(now boottime.Instant) Role {
	self := s.options.Self()
	switch s.hubOf(self.AvailabilityZone, now).Name {
	case "":
		return Equal
	case self.Name:
		return Hub
	default:
		return Member
	}
}

// isHub says whether this node adds up for its availability zone.
func (s *Sync) isHub(now boottime.Instant) bool { return s.role(now) == Hub }

// withHubs is the nodes to ask in a round: in a fleet with hubs the own zone's
// hub, for a hub the other zones' hubs, and one of those drawn at random.
func (s *Sync) withHubs(drawn []target, now boottime.Instant) []target {
	self := s.options.Self()
	hubs := s.hubs(now)
	own, found := hubs[self.AvailabilityZone]
	if !found {
		return drawn
	}
	targets := drawn[:min(len(drawn), 1)]
	if own.Name != self.Name {
		return append(targets, target{own.Name, own.PeerAddress})
	}
	for zone, hub := range hubs {
		if zone != self.AvailabilityZone {
			targets = append(targets, target{hub.Name, hub.PeerAddress})
		}
	}
	return targets
}

// takeLoads takes in what a node tells of its load and placements. A hub tells
// the placements on.
func (s *Sync) takeLoads(n Node, loads []*nodesyncv1.Load, placed []*nodesyncv1.Placement, isHub bool, now boottime.Instant) {
	at := time.Now()
	s.options.Placer.SetPeer(n.Name, n.AvailabilityZone, loadsFromProto(loads), s.options.Nodes.aliveCount(now), at)
	s.options.Placer.SetPlacements(placementsFromProto(placed), isHub, at)
}

// tellSums adds a hub's sums to its answer: it tells its own zone's nodes that of
// the fleet, and others that of the zone.
func (s *Sync) tellSums(answer *nodesyncv1.ExchangeResponse, caller Node) {
	if caller.AvailabilityZone == s.options.Self().AvailabilityZone {
		answer.FleetLoads = loadsToProto(s.options.Placer.FleetLoads(time.Now()))
		return
	}
	answer.ZoneLoads = loadsToProto(s.options.Placer.ZoneLoads(time.Now()))
}

// takeSums takes in the sums of a hub, of which the loads told in the request are
// this node's part. A hub's own view of the fleet is what it adds up itself.
func (s *Sync) takeSums(m *nodesyncv1.ExchangeResponse, from Node, asked *nodesyncv1.ExchangeRequest) {
	now := time.Now()
	if zone := m.GetZoneLoads(); len(zone) > 0 {
		s.options.Placer.SetZone(from.AvailabilityZone, loadsFromProto(zone), now)
		s.options.Placer.SetFleet(s.options.Placer.FleetLoads(now), s.options.Placer.Loads(now), now)
	}
	if fleet := m.GetFleetLoads(); len(fleet) > 0 {
		s.options.Placer.SetFleet(loadsFromProto(fleet), loadsFromProto(asked.GetLoads()), now)
	}
}
