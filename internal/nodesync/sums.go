package nodesync

import (
	"sync"
	"time"

	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
)

// hubSums caches the sums of a hub in their wire format. It is safe for concurrent use.
type hubSums struct {
	mu         sync.Mutex
	computedAt time.Time
	// group is the load from the members of this hub, fleet the load from all nodes.
	group, fleet []*nodesyncv1.Load
}

// currentSums returns the sums, recomputing them if they are older than SumsMaxAge: in a
// fleet of hundreds that takes half a millisecond, and a hub is called a hundred times a
// second.
func (s *Sync) currentSums(now time.Time) (group, fleet []*nodesyncv1.Load) {
	s.sums.mu.Lock()
	defer s.sums.mu.Unlock()
	if now.Sub(s.sums.computedAt) < s.options.SumsMaxAge {
		return s.sums.group, s.sums.fleet
	}
	placer := s.options.Placer
	loads := placer.FleetLoads(now)
	placer.SetFleetLoads(loads, placer.Loads(now), now)
	s.sums.group, s.sums.fleet, s.sums.computedAt = loadsToProto(placer.GroupLoads(now)), loadsToProto(loads), now
	return s.sums.group, s.sums.fleet
}

// addSums adds the sum of this hub's group to a response to another hub, or the fleet's
// sum to a response to a member.
func (s *Sync) addSums(reply *nodesyncv1.ExchangeResponse, toHub bool) {
	group, fleet := s.currentSums(time.Now())
	if toHub {
		reply.GroupLoads = group
		return
	}
	reply.FleetLoads = fleet
}

// mergeSums merges the sums of a hub. The fleet's sum includes the loads that this node
// sent in the request; the placer subtracts them.
func (s *Sync) mergeSums(m *nodesyncv1.ExchangeResponse, from Node, request *nodesyncv1.ExchangeRequest, isHub bool) {
	now := time.Now()
	if group := m.GetGroupLoads(); isHub && len(group) > 0 {
		s.options.Placer.SetGroupLoads(from.Name, loadsFromProto(group), now)
		s.currentSums(now)
	}
	if fleet := m.GetFleetLoads(); len(fleet) > 0 {
		s.options.Placer.SetFleetLoads(loadsFromProto(fleet), loadsFromProto(request.GetLoads()), now)
	}
}
