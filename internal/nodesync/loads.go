package nodesync

import (
	"time"

	"galenatrestle/internal/boottime"
	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
)

// loadOptions says how a request handles loads and placements.
type loadOptions struct {
	// omit: neither side sends loads and placements.
	omit bool
	// aggregate: the callee is the hub that aggregates this node's loads.
	aggregate bool
	// betweenHubs: both nodes are hubs, which exchange sums, and no loads of single nodes.
	betweenHubs bool
}

// loadOptionsFor returns the options for a request to the node. In a fleet with hubs,
// loads go only to and from hubs unless this node has no current sums.
func (s *Sync) loadOptionsFor(name string, now boottime.Instant) loadOptions {
	hubs := s.hubs(now)
	self := s.options.Self()
	ownHub := hubFor(self, hubs)
	switch {
	case ownHub.Name == "":
		return loadOptions{}
	case ownHub.Name == name:
		return loadOptions{aggregate: true}
	case ownHub.Name == self.Name && hasNode(hubs, name):
		return loadOptions{betweenHubs: true}
	default:
		return loadOptions{omit: s.options.Placer.HasFleetLoads(time.Now())}
	}
}

// mergeLoads merges the loads and placements of another node. A hub also forwards the
// placements, and aggregates the loads if requested.
func (s *Sync) mergeLoads(n Node, received receivedLoads, now boottime.Instant) {
	at := time.Now()
	if len(received.loads) > 0 || received.aggregate || !received.inSums && !received.selfIsHub {
		s.options.Placer.SetPeerLoads(n.Name, loadsFromProto(received.loads), received.aggregate, s.options.Nodes.AliveCount(now), at)
	}
	s.mergeUse(n.Name, received.use, received.aggregate)
	s.options.Placer.SetPlacements(placementsFromProto(received.placements), received.selfIsHub, at)
}

// receivedLoads is the load information of another node.
type receivedLoads struct {
	loads      []*nodesyncv1.Load
	placements []*nodesyncv1.Placement
	use        []*nodesyncv1.WorkspaceUse
	// aggregate: this node aggregates the loads of the sender. inSums: the sender's loads are
	// in the sums that it sent. selfIsHub: this node is a hub.
	aggregate, inSums, selfIsHub bool
}

// addLoads adds this node's loads, unless the recipient gets them in sums, and the placements
// that it does not have yet.
func (s *Sync) addLoads(reply *nodesyncv1.ExchangeResponse, recipient string, inSums bool) {
	now := time.Now()
	if !inSums {
		reply.Loads, reply.WorkspaceUse = loadsToProto(s.options.Placer.Loads(now)), s.ownUse(now)
	}
	reply.Placements = placementsToProto(s.options.Placer.Placements(now, s.cursors.since(recipient)))
	s.cursors.set(recipient, now)
}
