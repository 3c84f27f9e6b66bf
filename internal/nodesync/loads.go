package nodesync

import (
	"slices"
	"time"

	"galenatrestle/internal/boottime"
	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
)

// loadTerms is what a request says of loads.
type loadTerms struct {
	// without: neither side tells loads and placements.
	without bool
	// addsUp: the asked node adds up for this one.
	addsUp bool
}

// termsWith is what a request to the node says of loads: with hubs they go only to
// and from these, unless their sums do not come.
func (s *Sync) termsWith(name string, now boottime.Instant) loadTerms {
	hubs := s.hubs(now)
	self := s.options.Self()
	own := hubFor(self, hubs)
	switch {
	case own.Name == "":
		return loadTerms{}
	case own.Name == name:
		return loadTerms{addsUp: true}
	case own.Name == self.Name && slices.ContainsFunc(hubs, func(hub Node) bool { return hub.Name == name }):
		return loadTerms{}
	default:
		return loadTerms{without: s.options.Placer.HasFleetLoads(time.Now())}
	}
}

// takeLoads takes in what a node tells of its load and placements. A hub tells the
// placements on, and adds up the loads of those that ask it to.
func (s *Sync) takeLoads(n Node, told toldLoads, now boottime.Instant) {
	at := time.Now()
	s.options.Placer.SetPeerLoads(n.Name, loadsFromProto(told.loads), told.addsUp, s.options.Nodes.AliveCount(now), at)
	s.options.Placer.SetPlacements(placementsFromProto(told.placements), told.toHub, at)
}

// toldLoads is what a node told of its use of the replicas.
type toldLoads struct {
	loads      []*nodesyncv1.Load
	placements []*nodesyncv1.Placement
	// addsUp: this node adds up for that one; toHub: this node is a hub.
	addsUp, toHub bool
}

// tellLoads adds this node's loads to its answer, and the placements that the asking
// node was not told yet.
func (s *Sync) tellLoads(answer *nodesyncv1.ExchangeResponse, to string) {
	now := time.Now()
	answer.Loads = loadsToProto(s.options.Placer.Loads(now))
	answer.Placements = placementsToProto(s.options.Placer.Placements(now, s.cursors.of(to)))
	s.cursors.set(to, now)
}
