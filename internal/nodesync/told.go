package nodesync

import (
	"slices"

	"galenatrestle/internal/boottime"
)

// maxTold bounds the nodes drawn for one answer: news of each node then still pass
// through a fleet of a hundred within the time for which it counts as alive.
const maxTold = 24

// told are the nodes of an answer: the hubs, and some drawn at random. In a fleet
// of hundreds a node hears of each other one less than once a second; where the
// hubs were among these, nodes would take each other for hubs in turn.
func (s *Sync) told(now boottime.Instant) []Node {
	self := s.options.Self().Name
	var told []Node
	for _, hub := range s.hubs(now) {
		if hub.Name != self {
			told = append(told, hub)
		}
	}
	others := slices.DeleteFunc(s.options.Nodes.Alive(now), func(n Node) bool {
		return slices.ContainsFunc(told, func(hub Node) bool { return hub.Name == n.Name })
	})
	return append(told, s.some(others)...)
}

// some draws nodes at random.
func (s *Sync) some(nodes []Node) []Node {
	if len(nodes) <= maxTold {
		return nodes
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:maxTold]
}
