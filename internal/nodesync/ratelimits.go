package nodesync

import (
	"slices"
	"time"

	"galenatrestle/internal/boottime"
	ratelimitv1 "galenatrestle/internal/gen/trestle/ratelimit/v1"
	"galenatrestle/internal/ratelimit"
)

// takeLimits takes in the rates that another node told in a call that began at the instant.
// Those of replicas that are not registered, as far as this node knows, are left out: they
// would never be dropped.
func (s *Sync) takeLimits(told []*ratelimitv1.Limit, from string, began boottime.Instant) {
	limits := slices.DeleteFunc(ratelimit.FromProto(told, began), func(l ratelimit.Limit) bool {
		return !s.options.Replicas.HasProcess(l.Replica, l.StartedAt)
	})
	for _, news := range s.options.RateLimits.Merge(limits) {
		s.options.Log.Write(&ratelimit.LimitChanged{Limit: news, From: from, Age: s.options.Clock().Sub(news.ObservedAt)})
	}
}

// PermitIssuer is the node that issues the permits of the replica: one of the hubs, or in a
// small fleet one of the nodes that stay. All that know the same nodes name the same one.
func (s *Sync) PermitIssuer(replica string) Node {
	self := s.options.Self()
	now := s.options.Clock()
	var issuer Node
	var lowest uint64
	offer := func(n Node) {
		if rank := rankOf(replica + n.Name); issuer.Name == "" || rank < lowest {
			issuer, lowest = n, rank
		}
	}
	if hubs := s.hubs(now); len(hubs) > 0 {
		for _, hub := range hubs {
			offer(hub)
		}
		return issuer
	}
	s.options.Nodes.visit(func(r *record) {
		if r.stays(now) {
			offer(r.Node)
		}
	})
	if !self.Leaving || issuer.Name == "" {
		offer(self)
	}
	return issuer
}

// SeenFraction is the part of the nodes that may serve which were heard of lately, this node
// included. The others may have ended, or be cut off and decide without this part.
func (s *Sync) SeenFraction() float64 {
	now := s.options.Clock()
	lately := max(aliveFor, silentAfter(s.options.Nodes.KnownCount(now)-1)) + lateNews
	known, heard := 1, 1
	s.options.Nodes.visit(func(r *record) {
		if !r.remembered(now) || r.Leaving || r.unmet {
			return
		}
		known++
		if !r.failed && r.heardWithin(lately, now) {
			heard++
		}
	})
	return float64(heard) / float64(known)
}

// lateNews is how much later than usual a node may be heard of while it counts as heard.
const lateNews = 500 * time.Millisecond
