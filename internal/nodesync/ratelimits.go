package nodesync

import (
	"time"

	"galenatrestle/internal/boottime"
	ratelimitv1 "galenatrestle/internal/gen/trestle/ratelimit/v1"
	"galenatrestle/internal/ratelimit"
)

// limitsFor returns the limits to send to the node, nil if it was sent them lately.
func (s *Sync) limitsFor(node string, now boottime.Instant) []*ratelimitv1.Limit {
	table := s.options.RateLimitTable
	if !s.limitCursors.isDue(node, table.Changes(), now) {
		return nil
	}
	return ratelimit.ToProto(table.ForPeers(), now)
}

// mergeRateLimits merges the rate limits of another node. callStart is the instant that
// their ages are subtracted from: the start of the call for a response, the arrival for a
// request.
func (s *Sync) mergeRateLimits(received []*ratelimitv1.Limit, from string, callStart boottime.Instant) {
	limits := ratelimit.FromProto(received, callStart)
	for _, changed := range s.options.RateLimitTable.Merge(limits, s.options.Replicas.HasProcess) {
		s.options.Log.Write(&ratelimit.LimitChanged{Limit: changed, From: from, Age: s.options.Clock().Sub(changed.ObservedAt)})
	}
}

// PermitIssuer returns the node that issues the replica's rate limit permits: a hub, or
// an active node in a small fleet. Nodes with the same view of the fleet choose the same
// one.
func (s *Sync) PermitIssuer(replica string) Node {
	self := s.options.Self()
	now := s.options.Clock()
	var issuer Node
	var lowest uint64
	offer := func(n Node) {
		if rank := hashRank(replica + n.Name); issuer.Name == "" || rank < lowest {
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
		if r.active(now) {
			offer(r.Node)
		}
	})
	if !self.Leaving || issuer.Name == "" {
		offer(self)
	}
	return issuer
}

// SeenFraction returns the fraction of the known nodes, without leaving ones, that were
// seen recently. The others may have stopped, or be in another partition, which has its
// own permit issuers.
func (s *Sync) SeenFraction() float64 {
	now := s.options.Clock()
	window := max(aliveTimeout, silenceThreshold(s.options.Nodes.KnownCount(now)-1)) + lateTolerance
	known, seen := 1, 1
	s.options.Nodes.visit(func(r *record) {
		if !r.retained(now) || r.Leaving || r.candidate {
			return
		}
		known++
		if !r.failed && r.seenWithin(window, now) {
			seen++
		}
	})
	return float64(seen) / float64(known)
}

// lateTolerance is added to the time after which SeenFraction no longer counts a node as
// seen recently.
const lateTolerance = 500 * time.Millisecond
