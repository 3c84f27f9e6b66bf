package nodesync

import "galenatrestle/internal/boottime"

const (
	// maxTold bounds the nodes drawn for one answer: news of each node then still pass
	// through a fleet of a hundred within the time for which it counts as alive.
	maxTold = 24
	// toldWithEntries is the bound where the entries of the asking node's zone are
	// told besides.
	toldWithEntries = 12
)

// told are the nodes of an answer to a node of the availability zone: the hubs, the
// nodes to which the zone's callers are sent, and some drawn at random. In a fleet of
// hundreds a node hears of each other one less than once a second; where the hubs and
// entries were among these, nodes would take each other for hubs in turn, and callers
// be sent now here, now there.
func (s *Sync) told(zone string, now boottime.Instant) []Node {
	self := s.options.Self()
	told := append([]Node(nil), s.hubs(now)...)
	drawn := maxTold
	if len(told) > 0 {
		told = append(told, s.entries(zone, self, now)...)
		drawn = toldWithEntries
	}
	// Of the drawn ones some may be told already: so many more are drawn.
	others := s.options.Nodes.draw(drawn+len(told), s.intN, func(r *record) bool { return r.alive(now) })
	return withoutRepeats(self.Name, told, others, drawn)
}

// withoutRepeats is the told nodes and up to most of the others, each once and
// without this node.
func withoutRepeats(self string, told, others []Node, most int) []Node {
	seen := map[string]bool{self: true}
	var list []Node
	add := func(nodes []Node, most int) {
		for _, n := range nodes {
			if most > 0 && !seen[n.Name] {
				seen[n.Name] = true
				list = append(list, n)
				most--
			}
		}
	}
	add(told, len(told))
	add(others, most)
	return list
}
