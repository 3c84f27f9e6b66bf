package nodesync

import "galenatrestle/internal/boottime"

// StoreReaderIndex is this node's place among the nodes that read the platform's store for the
// others: all of a small fleet, or the first hubs of the availability zones. All that
// know the same nodes agree on the order. Others have no place of their own: zero.
func (s *Sync) StoreReaderIndex() int {
	now := s.options.Clock()
	self := s.options.Self()
	hubs := s.hubs(now)
	switch roleOf(self, hubs) {
	case Peer:
		return s.turnAmongAll(self, now)
	case PrimaryHub:
		return turnAmongFirst(self, hubs)
	default:
		return 0
	}
}

// turnAmongAll is the place of a node in a fleet without hubs.
func (s *Sync) turnAmongAll(self Node, now boottime.Instant) int {
	rank := rankOf(self.Name)
	return s.options.Nodes.count(func(r *record) bool { return r.stays(now) && r.rank < rank })
}

// turnAmongFirst is the place of a hub among the first ones of the availability
// zones, in which the list has them.
func turnAmongFirst(self Node, hubs []Node) int {
	turn := 0
	for i, hub := range hubs {
		if hub.Name == self.Name {
			break
		}
		if i == 0 || hubs[i-1].AvailabilityZone != hub.AvailabilityZone {
			turn++
		}
	}
	return turn
}
