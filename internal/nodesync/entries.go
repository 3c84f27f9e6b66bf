package nodesync

import (
	"cmp"

	"galenatrestle/internal/boottime"
)

// EntryNodesPerZone is the number of nodes to which callers of one availability zone are
// sent in a fleet that is too large to be told whole. All that know the same nodes
// tell the same ones, so that callers keep their connections.
const EntryNodesPerZone = 16

// EntryNodes are the nodes to which callers of the availability zone are sent: those of
// the zone with the most processor, and nodes of other zones where it has too few. An
// empty zone stands for this node's.
func (s *Sync) EntryNodes(zone string) []Node {
	self := s.options.Self()
	return s.entries(cmp.Or(zone, self.AvailabilityZone), self, s.options.Clock())
}

func (s *Sync) entries(zone string, self Node, now boottime.Instant) []Node {
	own := best{most: EntryNodesPerZone, compare: compareForEntry}
	others := best{most: EntryNodesPerZone, compare: func(a, b *Node) int {
		return cmp.Compare(rankOf(zone+a.Name), rankOf(zone+b.Name))
	}}
	offer := func(n *Node) {
		if n.AvailabilityZone == zone {
			own.offer(n)
		}
	}
	if self.Ready && !self.Leaving {
		self.rank = rankOf(self.Name)
		offer(&self)
	}
	s.options.Nodes.visit(func(r *record) {
		if r.serves(now) {
			offer(&r.Node)
		}
	})
	missing := EntryNodesPerZone - len(own.nodes)
	if missing <= 0 {
		return own.nodes
	}
	s.options.Nodes.visit(func(r *record) {
		if r.serves(now) && r.AvailabilityZone != zone {
			others.offer(&r.Node)
		}
	})
	return append(own.nodes, others.nodes[:min(len(others.nodes), missing)]...)
}

// compareForEntry puts the nodes with the most processor first.
func compareForEntry(a, b *Node) int {
	return cmp.Or(cmp.Compare(b.ProcessorShare, a.ProcessorShare), cmp.Compare(a.rank, b.rank))
}
