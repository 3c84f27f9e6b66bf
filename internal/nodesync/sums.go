package nodesync

import (
	"sync"
	"time"

	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/replica"
)

// hubSums caches the sums of a hub in their wire format. It is safe for concurrent use.
type hubSums struct {
	mu         sync.Mutex
	computedAt time.Time
	current    sums
	// partDemand determines the sizes of the parts of the listing that the members keep.
	partDemand partDemand
	// used are the replicas that nodes use, by ID, as of the listing with usedDigest.
	used       map[string]replica.Replica
	usedDigest uint64
}

// sums are the summed loads that a hub tells.
type sums struct {
	// fleet is the load from all nodes and group that from the members of this hub, on the replicas
	// that nodes use; ownGroup is group without this restriction.
	fleet, group, ownGroup []*nodesyncv1.Load
	// zone is the load from the nodes of this availability zone, on the replicas that nodes use, and
	// remote that from the nodes of other zones; set only if hubs call other zones through the
	// primary hubs.
	zone, remote []*nodesyncv1.Load
	// use is the summed use of upstreams by workspace.
	use useSums
}

// currentSums returns the sums, recomputing them if they are older than SumsMaxAge: in a
// fleet of hundreds that takes half a millisecond, and a hub is called a hundred times a
// second.
func (s *Sync) currentSums(now time.Time) sums {
	s.sums.mu.Lock()
	defer s.sums.mu.Unlock()
	if now.Sub(s.sums.computedAt) < s.options.SumsMaxAge {
		return s.sums.current
	}
	placer := s.options.Placer
	used := s.usedReplicas()
	fleet, group := placer.FleetLoads(now), placer.GroupLoads(now)
	placer.SetFleetLoads(fleet, placer.Loads(now), now)
	fleet = onlyOn(used, fleet)
	if used != nil {
		s.options.Replicas.SetPartSizes(s.sums.partDemand.observe(now, zoneDemand(fleet, used, s.options.Replicas.Zone())))
	}
	current := sums{fleet: loadsToProto(fleet), group: loadsToProto(onlyOn(used, group)), ownGroup: loadsToProto(group)}
	throughPrimary := callsThroughPrimary(s.hubs(s.options.Clock()))
	current.use = s.currentUse(now, throughPrimary)
	if throughPrimary {
		current.zone = loadsToProto(onlyOn(used, placer.ZoneLoads(now)))
		current.remote = loadsToProto(placer.RemoteLoads(now))
	}
	s.sums.computedAt, s.sums.current = now, current
	return current
}

// usedReplicas returns the replicas that nodes use, by ID; nil if they use all. The lock of the sums is
// held.
func (s *Sync) usedReplicas() map[string]replica.Replica {
	listing, ok := s.options.Replicas.ListingFor(s.options.Replicas.Zone())
	if !ok || listing.Zone == "" {
		return nil
	}
	if s.sums.used == nil || s.sums.usedDigest != listing.Digest {
		s.sums.used = make(map[string]replica.Replica, len(listing.Replicas))
		for _, r := range listing.Replicas {
			s.sums.used[r.ID] = r
		}
		s.sums.usedDigest = listing.Digest
	}
	return s.sums.used
}

// onlyOn returns the loads on the replicas; all if used is nil.
func onlyOn(used map[string]replica.Replica, loads []placement.Load) []placement.Load {
	if used == nil {
		return loads
	}
	kept := make([]placement.Load, 0, min(len(loads), len(used)))
	for _, l := range loads {
		if _, ok := used[l.Replica]; ok {
			kept = append(kept, l)
		}
	}
	return kept
}

// addSums adds the sums that the caller needs to a response of a hub: the fleet's sum for a
// member, and this hub's group for another hub. If hubs call other zones only through the primary
// hubs, a hub of another zone gets the zone's sum, and a primary hub passes on the sums of other
// zones within its own.
func (s *Sync) addSums(reply *nodesyncv1.ExchangeResponse, caller Node, isMember bool) {
	current := s.currentSums(time.Now())
	self := s.options.Self()
	hubs := s.hubs(s.options.Clock())
	throughPrimary := callsThroughPrimary(hubs)
	switch {
	case isMember:
		reply.FleetLoads, reply.FleetUse = current.fleet, current.use.fleet
	case caller.AvailabilityZone == self.AvailabilityZone:
		reply.GroupLoads, reply.GroupUse = current.ownGroup, current.use.group
		if throughPrimary && roleOf(self, hubs) == PrimaryHub {
			reply.RemoteLoads, reply.ZoneUse = current.remote, current.use.remote
		}
	case throughPrimary:
		reply.ZoneLoads, reply.ZoneUse = current.zone, current.use.zone
	default:
		reply.GroupLoads, reply.GroupUse = current.group, current.use.group
	}
}

// mergeSums merges the sums of a hub. The fleet's sum includes the loads that this node
// sent in the request; the placer subtracts them.
func (s *Sync) mergeSums(m *nodesyncv1.ExchangeResponse, from Node, request *nodesyncv1.ExchangeRequest, role Role) {
	now := time.Now()
	s.mergeUseSums(m, from, request, role)
	if role.IsHub() {
		s.mergeGroups(m, from, role, now)
	}
	if fleet := m.GetFleetLoads(); len(fleet) > 0 {
		s.options.Placer.SetFleetLoads(loadsFromProto(fleet), loadsFromProto(request.GetLoads()), now)
	}
}

// mergeGroups merges the sums of another hub into those of this hub.
func (s *Sync) mergeGroups(m *nodesyncv1.ExchangeResponse, from Node, role Role, now time.Time) {
	placer := s.options.Placer
	if group := m.GetGroupLoads(); len(group) > 0 {
		placer.SetGroupLoads(from.Name, from.AvailabilityZone != s.options.Self().AvailabilityZone, loadsFromProto(group), now)
	}
	if zone := m.GetZoneLoads(); len(zone) > 0 {
		placer.SetZoneLoads(from.AvailabilityZone, loadsFromProto(zone), now)
	}
	if remote := m.GetRemoteLoads(); len(remote) > 0 && role == SecondaryHub {
		placer.SetZoneLoads("", loadsFromProto(remote), now)
	}
	s.currentSums(now)
}
