package nodesync

import "galenatrestle/internal/boottime"

const (
	// maxSampledNodes bounds the random nodes in one response. It suffices for the state of
	// each node to reach all nodes of a fleet of a hundred within aliveTimeout.
	maxSampledNodes = 24
	// maxSampledWithEntryNodes is the bound if the response also has the entry nodes of
	// the caller's zone.
	maxSampledWithEntryNodes = 12
)

// nodesForResponse returns the nodes to include in a response: a random sample, and with
// hubs also the hubs and the zone's entry nodes. A sample alone would refresh hubs and
// entry nodes too rarely in a fleet of hundreds, so that nodes would disagree on them.
func (s *Sync) nodesForResponse(zone string, now boottime.Instant) []Node {
	self := s.options.Self()
	required := append([]Node(nil), s.hubs(now)...)
	limit := maxSampledNodes
	if len(required) > 0 {
		required = append(required, s.entryNodes(zone, self, now)...)
		limit = maxSampledWithEntryNodes
	}
	// The sample may overlap with the required nodes, so draw that many more.
	others := s.options.Nodes.sample(limit+len(required), s.intN, func(r *record) bool { return r.alive(now) })
	return uniqueNodes(self.Name, required, others, limit)
}

// uniqueNodes returns the required nodes and up to limit of the others, without
// duplicates and without this node.
func uniqueNodes(self string, required, others []Node, limit int) []Node {
	seen := map[string]bool{self: true}
	var list []Node
	add := func(nodes []Node, limit int) {
		for _, n := range nodes {
			if limit > 0 && !seen[n.Name] {
				seen[n.Name] = true
				list = append(list, n)
				limit--
			}
		}
	}
	add(required, len(required))
	add(others, limit)
	return list
}
