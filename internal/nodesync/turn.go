package nodesync

import "galenatrestle/internal/boottime"

// StoreReaderIndex returns this node's position among the nodes that read the platform's
// store for the others: all nodes of a small fleet, or the primary hubs. Nodes with the
// same view of the fleet agree on the order. For nodes that are not among them, the result
// is zero as for the first one.
func (s *Sync) StoreReaderIndex() int {
	now := s.options.Clock()
	self := s.options.Self()
	hubs := s.hubs(now)
	switch roleOf(self, hubs) {
	case Peer:
		return s.indexAmongAll(self, now)
	case PrimaryHub:
		return indexAmongPrimaryHubs(self, hubs)
	default:
		return 0
	}
}

func (s *Sync) indexAmongAll(self Node, now boottime.Instant) int {
	rank := hashRank(self.Name)
	return s.options.Nodes.count(func(r *record) bool { return r.active(now) && r.rank < rank })
}

func indexAmongPrimaryHubs(self Node, hubs []Node) int {
	index := 0
	for i, hub := range hubs {
		if hub.Name == self.Name {
			break
		}
		if isFirstOfZone(hubs, i) {
			index++
		}
	}
	return index
}
