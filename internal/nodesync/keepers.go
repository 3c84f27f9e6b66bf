package nodesync

import (
	"cmp"
	"slices"

	"galenatrestle/internal/boottime"
)

// recordKeepers is the number of nodes that get copies of a node's records, beside the one that saves
// them in the store.
const recordKeepers = 2

// RecordKeepers returns the nodes that keep copies of this node's records for it: in a small fleet the node
// that saves the records of all in the store and the next ones in the order of ranks, in a large fleet the
// node's hub and another. The first one saves them, unless savesItself is set: then this node does.
func (s *Sync) RecordKeepers() (keepers []Node, savesItself bool) {
	now := s.options.Clock()
	self := s.options.Self()
	self.rank = hashRank(self.Name)
	if hubs := s.hubs(now); len(hubs) > 0 {
		return hubKeepers(self, hubs)
	}
	others := s.rankedOthers(now)
	if len(others) == 0 {
		return nil, true
	}
	if savesItself = !self.Leaving && self.rank < others[0].rank; !savesItself {
		keepers = append(keepers, others[0])
	}
	// Each node has other keepers, so that nodes which are lost together take few records with them.
	next, _ := slices.BinarySearchFunc(others, self.rank, func(n Node, rank uint64) int { return cmp.Compare(n.rank, rank) })
	for i := range min(recordKeepers, len(others)) {
		if n := others[(next+i)%len(others)]; !hasNode(keepers, n.Name) {
			keepers = append(keepers, n)
		}
	}
	return keepers, savesItself
}

// rankedOthers returns the other active nodes in the order of their ranks.
func (s *Sync) rankedOthers(now boottime.Instant) []Node {
	others := s.options.Nodes.list(func(r *record) bool { return r.active(now) })
	slices.SortFunc(others, func(a, b Node) int { return cmp.Compare(a.rank, b.rank) })
	return others
}

// hubKeepers returns the keepers of a node of a large fleet. A hub saves its own records.
func hubKeepers(self Node, hubs []Node) ([]Node, bool) {
	own := hubFor(self, hubs)
	var keepers []Node
	if own.Name != self.Name && own.Name != "" {
		keepers = append(keepers, own)
	}
	var other Node
	var lowest uint64
	for _, hub := range hubs {
		if hub.Name == own.Name || hub.Name == self.Name {
			continue
		}
		if rank := hashRank(hub.Name + self.Name); other.Name == "" || rank < lowest {
			other, lowest = hub, rank
		}
	}
	if other.Name != "" {
		keepers = append(keepers, other)
	}
	return keepers, own.Name == self.Name
}

// RecordHolders returns the other nodes that may have records, and the number of nodes that have
// been among these lately, this one included.
func (s *Sync) RecordHolders() (holders []Node, known int) {
	now := s.options.Clock()
	hubs := s.hubs(now)
	if len(hubs) == 0 {
		return s.options.Nodes.Alive(now), s.options.Nodes.KnownCount(now)
	}
	self := s.options.Self().Name
	holders = slices.DeleteFunc(slices.Clone(hubs), func(n Node) bool { return n.Name == self })
	return holders, len(holders) + 1
}

// RecordSavers returns the number of nodes that save records in the store.
func (s *Sync) RecordSavers() int { return max(len(s.hubs(s.options.Clock())), 1) }
