package nodesync

import (
	"context"
	"sync"
)

// maxAnnounceCalls bounds the calls of Announce: each of them needs a connection.
const maxAnnounceCalls = 64

// Announce calls other nodes at once, so that they learn this node's state, and waits for the
// calls to finish.
func (s *Sync) Announce(ctx context.Context) {
	var calls sync.WaitGroup
	for _, n := range s.announceTargets() {
		calls.Go(func() { s.call(ctx, targetOf(n)) })
	}
	calls.Wait()
}

// announceTargets returns all alive nodes. In a large fleet it returns the hubs and the entry
// nodes of the zone only: no other node sends callers or loads here.
func (s *Sync) announceTargets() []Node {
	now := s.options.Clock()
	nodes := s.options.Nodes.Alive(now)
	if len(nodes) <= maxAnnounceCalls {
		return nodes
	}
	self := s.options.Self()
	nearest := append(s.entryNodes(self.AvailabilityZone, self, now), s.hubs(now)...)
	return uniqueNodes(self.Name, nil, nearest, maxAnnounceCalls)
}
