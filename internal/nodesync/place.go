package nodesync

import (
	"time"

	"galenatrestle/internal/boottime"
)

const (
	// placesTTL is how long places are reused.
	placesTTL = 500 * time.Millisecond
	// placesSettleTime is the time after its start from which a node knows all nodes of a small fleet.
	placesSettleTime = 3 * time.Second
)

// places caches this node's places by key.
type places struct {
	startedAt  boottime.Instant
	computedAt boottime.Instant
	nodes      int
	byKey      map[string]int
}

// Place returns this node's place, from 0 on, in an order of all nodes that depends on the key, and their
// number. All nodes that know the same nodes have different places. It returns false if this node may
// not know all others: it has just started, or is one of a large fleet.
func (s *Sync) Place(key string) (place, nodes int, known bool) {
	now := s.options.Clock()
	isSmall := len(s.hubs(now)) == 0 && s.FleetSize() < minNodesForHubs
	s.placesMu.Lock()
	defer s.placesMu.Unlock()
	p := &s.places
	if !isSmall || now.Sub(p.startedAt) < placesSettleTime {
		return 0, 0, false
	}
	if p.byKey == nil || now.Sub(p.computedAt) >= placesTTL {
		p.computedAt, p.nodes, p.byKey = now, s.options.Nodes.KnownCount(now), make(map[string]int)
	}
	place, computed := p.byKey[key]
	if !computed {
		place = s.placeAmong(key, now)
		p.byKey[key] = place
	}
	return place, p.nodes, true
}

// placeAmong counts the nodes before this one in the key's order.
func (s *Sync) placeAmong(key string, now boottime.Instant) int {
	self := s.options.Self().Name
	own := hashRank(self + "/" + key)
	return s.options.Nodes.count(func(r *record) bool {
		return r.retained(now) && hashRank(r.Name+"/"+key) < own
	})
}
