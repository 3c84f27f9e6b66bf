package nodesync

import (
	"cmp"

	"galenatrestle/internal/boottime"
)

// EntryNodesPerZone is the number of entry nodes per availability zone in a fleet that is
// too large to list all nodes. Nodes with the same view of the fleet choose the same
// ones, so that callers keep their connections.
const EntryNodesPerZone = 16

// EntryNodes returns the nodes that callers of the availability zone should connect to:
// those of the zone with the largest processor share, filled up from other zones if there
// are too few. An empty zone means this node's zone.
func (s *Sync) EntryNodes(zone string) []Node {
	self := s.options.Self()
	return s.entryNodes(cmp.Or(zone, self.AvailabilityZone), self, s.options.Clock())
}

func (s *Sync) entryNodes(zone string, self Node, now boottime.Instant) []Node {
	sameZone := topNodes{limit: EntryNodesPerZone, compare: compareEntryNodes}
	otherZones := topNodes{limit: EntryNodesPerZone, compare: func(a, b *Node) int {
		return cmp.Compare(hashRank(zone+a.Name), hashRank(zone+b.Name))
	}}
	offer := func(n *Node) {
		if n.AvailabilityZone == zone {
			sameZone.offer(n)
		}
	}
	if self.Ready && !self.Leaving {
		self.rank = hashRank(self.Name)
		offer(&self)
	}
	s.options.Nodes.visit(func(r *record) {
		if r.serving(now) {
			offer(&r.Node)
		}
	})
	missing := EntryNodesPerZone - len(sameZone.nodes)
	if missing <= 0 {
		return sameZone.nodes
	}
	s.options.Nodes.visit(func(r *record) {
		if r.serving(now) && r.AvailabilityZone != zone {
			otherZones.offer(&r.Node)
		}
	})
	return append(sameZone.nodes, otherZones.nodes[:min(len(otherZones.nodes), missing)]...)
}

func compareEntryNodes(a, b *Node) int {
	return cmp.Or(cmp.Compare(b.ProcessorShare, a.ProcessorShare), cmp.Compare(a.rank, b.rank))
}

// IsEntryNode reports whether callers of this node's availability zone are told to connect to it.
func (s *Sync) IsEntryNode() bool {
	return hasNode(s.EntryNodes(""), s.options.Self().Name)
}

// MaxEntryNodes returns the largest number of entry nodes of all availability zones together.
func (s *Sync) MaxEntryNodes() int {
	return s.zoneSizes.totalUpTo(EntryNodesPerZone, s.options.Clock())
}
