package nodesync

import (
	"math"
	"time"

	"galenatrestle/internal/fairshare"
	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
)

// The use of upstreams by workspace travels like loads: from each member to its hub, between hubs, and
// the fleet's sum back. Without hubs nodes tell each other their own.

// useSums are the sums of a hub in their wire format, as in sums.
type useSums struct {
	fleet, group, zone, remote []*nodesyncv1.WorkspaceUse
}

// currentUse returns the sums, and takes the fleet's for this node.
func (s *Sync) currentUse(now time.Time, throughPrimary bool) useSums {
	sharing := s.options.FairShare
	if sharing == nil {
		return useSums{}
	}
	fleet := sharing.FleetUse(now)
	sharing.SetFleet(fleet, sharing.OwnUse(now), now)
	current := useSums{fleet: useToProto(fleet), group: useToProto(sharing.GroupUse(now))}
	if throughPrimary {
		current.zone, current.remote = useToProto(sharing.ZoneUse(now)), useToProto(sharing.RemoteUse(now))
	}
	return current
}

// ownUse returns this node's use.
func (s *Sync) ownUse(now time.Time) []*nodesyncv1.WorkspaceUse {
	if s.options.FairShare == nil {
		return nil
	}
	return useToProto(s.options.FairShare.OwnUse(now))
}

// mergeUse merges the use of another node; aggregate: this node adds it up.
func (s *Sync) mergeUse(from string, use []*nodesyncv1.WorkspaceUse, aggregate bool) {
	if s.options.FairShare != nil && (len(use) > 0 || aggregate) {
		s.options.FairShare.SetPeer(from, useFromProto(use), aggregate, time.Now())
	}
}

// mergeUseSums merges the sums of a hub. The fleet's sum includes the use that this node sent in the
// request.
func (s *Sync) mergeUseSums(m *nodesyncv1.ExchangeResponse, from Node, request *nodesyncv1.ExchangeRequest, role Role) {
	sharing := s.options.FairShare
	if sharing == nil {
		return
	}
	now := time.Now()
	if role.IsHub() {
		s.mergeGroupUse(m, from, role, now)
	}
	if fleet := m.GetFleetUse(); len(fleet) > 0 {
		sharing.SetFleet(useFromProto(fleet), useFromProto(request.GetWorkspaceUse()), now)
	}
}

// mergeGroupUse merges the sums of another hub into those of this hub.
func (s *Sync) mergeGroupUse(m *nodesyncv1.ExchangeResponse, from Node, role Role, now time.Time) {
	sharing := s.options.FairShare
	remote := from.AvailabilityZone != s.options.Self().AvailabilityZone
	if group := m.GetGroupUse(); len(group) > 0 {
		sharing.SetGroup(from.Name, remote, useFromProto(group), now)
	}
	zone := m.GetZoneUse()
	switch {
	case len(zone) == 0:
	case remote:
		sharing.SetZone(from.AvailabilityZone, useFromProto(zone), now)
	case role == SecondaryHub:
		sharing.SetZone("", useFromProto(zone), now)
	}
}

func useToProto(sums fairshare.Sums) []*nodesyncv1.WorkspaceUse {
	converted := make([]*nodesyncv1.WorkspaceUse, 0, len(sums))
	for upstream, use := range sums {
		m := &nodesyncv1.WorkspaceUse{Upstream: upstream}
		for id, cost := range use.Workspaces {
			m.Workspaces = append(m.Workspaces, uint64(id))
			m.Started = append(m.Started, wholeTokens(cost.Started))
			m.Refused = append(m.Refused, wholeTokens(cost.Asked-cost.Started))
		}
		m.RestStarted, m.RestRefused = wholeTokens(use.Rest.Started), wholeTokens(use.Rest.Asked-use.Rest.Started)
		m.QueueWeight, m.QueueWaiting = wholeTokens(use.Queue.Weight), wholeTokens(use.Queue.Waiting)
		converted = append(converted, m)
	}
	return converted
}

func wholeTokens(cost float64) uint64 { return uint64(math.Round(max(cost, 0))) }

// useFromProto ignores workspaces without both costs, and more than nodes send.
func useFromProto(list []*nodesyncv1.WorkspaceUse) fairshare.Sums {
	sums := make(fairshare.Sums, len(list))
	left := fairshare.MaxWorkspaces
	for _, m := range list {
		n := min(len(m.GetWorkspaces()), len(m.GetStarted()), len(m.GetRefused()), left)
		left -= n
		use := fairshare.Use{
			Workspaces: make(map[fairshare.ID]fairshare.Cost, n), Rest: costOf(m.GetRestStarted(), m.GetRestRefused()),
			Queue: fairshare.Queue{Weight: float64(m.GetQueueWeight()), Waiting: float64(m.GetQueueWaiting())},
		}
		for i, id := range m.GetWorkspaces()[:n] {
			use.Workspaces[fairshare.ID(id)] = costOf(m.GetStarted()[i], m.GetRefused()[i])
		}
		sums[m.GetUpstream()] = use
	}
	return sums
}

func costOf(started, refused uint64) fairshare.Cost {
	return fairshare.Cost{Asked: float64(started) + float64(refused), Started: float64(started)}
}
