package nodesync

import (
	"sync"
	"time"

	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
)

// sums is what a hub has added up, as it is told. It is safe for concurrent use.
type sums struct {
	mu sync.Mutex
	at time.Time
	// group is the use of the replicas by the nodes that tell this hub theirs,
	// fleet that by all nodes.
	group, fleet []*nodesyncv1.Load
}

// addedUp adds up, or gives what was added up less than SumsFor ago: a hub is asked a
// hundred times a second and more, and adding up takes half a millisecond in a
// fleet of hundreds.
func (s *Sync) addedUp(now time.Time) (group, fleet []*nodesyncv1.Load) {
	s.sums.mu.Lock()
	defer s.sums.mu.Unlock()
	if now.Sub(s.sums.at) < s.options.SumsMaxAge {
		return s.sums.group, s.sums.fleet
	}
	placer := s.options.Placer
	loads := placer.FleetLoads(now)
	placer.SetFleetLoads(loads, placer.Loads(now), now)
	s.sums.group, s.sums.fleet, s.sums.at = loadsToProto(placer.GroupLoads(now)), loadsToProto(loads), now
	return s.sums.group, s.sums.fleet
}

// tellSums adds a hub's sums to its answer: it tells other hubs what its own nodes
// use, and these what the fleet uses.
func (s *Sync) tellSums(answer *nodesyncv1.ExchangeResponse, toHub bool) {
	group, fleet := s.addedUp(time.Now())
	if toHub {
		answer.GroupLoads = group
		return
	}
	answer.FleetLoads = fleet
}

// takeSums takes in the sums of a hub, of which the loads told in the request are
// this node's part. A hub's own view of the fleet is what it adds up itself.
func (s *Sync) takeSums(m *nodesyncv1.ExchangeResponse, from Node, asked *nodesyncv1.ExchangeRequest, isHub bool) {
	now := time.Now()
	if group := m.GetGroupLoads(); isHub && len(group) > 0 {
		s.options.Placer.SetGroupLoads(from.Name, loadsFromProto(group), now)
		s.addedUp(now)
	}
	if fleet := m.GetFleetLoads(); len(fleet) > 0 {
		s.options.Placer.SetFleetLoads(loadsFromProto(fleet), loadsFromProto(asked.GetLoads()), now)
	}
}
