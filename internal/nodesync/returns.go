package nodesync

import (
	"sync"
	"time"

	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/returns"
)

// Returns travel on the same way as loads: from a member to its hub, among the hubs, and to the members. Each
// is sent once. If the message is lost, the caller is a newcomer at the nodes that lack it.

// returnCursors keeps up to which sequence number each other node was sent the returns. It is safe for
// concurrent use. At MaxNodes entries it is cleared, which only causes returns to be sent again.
type returnCursors struct {
	mu   sync.Mutex
	sent map[string]uint64
}

func (c *returnCursors) get(node string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[node]
}

func (c *returnCursors) set(node string, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent == nil || len(c.sent) >= MaxNodes {
		c.sent = make(map[string]uint64)
	}
	c.sent[node] = sequence
}

// reset makes the next message contain all returns that are not due yet: the node may have got nothing.
func (c *returnCursors) reset(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sent, node)
}

// returnsFor returns the returns that the node does not have yet, and takes them as sent.
func (s *Sync) returnsFor(node string) []*nodesyncv1.Return {
	if s.options.Returns == nil || node == "" {
		return nil
	}
	now := time.Now()
	entries, sequence := s.options.Returns.Changes(now, s.returnsSent.get(node), node)
	s.returnsSent.set(node, sequence)
	var list []*nodesyncv1.Return
	for _, e := range entries {
		list = append(list, &nodesyncv1.Return{Fingerprint: uint64(e.Fingerprint), Id: e.ID, DueIn: uint32(e.DueAt.Sub(now).Milliseconds())})
	}
	return list
}

// mergeReturns adds the returns of another node, which sent them at most age ago. Those that no caller can have
// been told are left out.
func (s *Sync) mergeReturns(received []*nodesyncv1.Return, from string, age time.Duration) {
	if s.options.Returns == nil {
		return
	}
	now := time.Now()
	for _, r := range received[:min(len(received), returns.MaxAnnounced)] {
		dueIn := time.Duration(r.GetDueIn()) * time.Millisecond
		if dueIn > returns.MaxDelay {
			continue
		}
		s.options.Returns.Add(now, returns.Entry{
			Fingerprint: quarantine.Fingerprint(r.GetFingerprint()), ID: r.GetId(), DueAt: now.Add(dueIn - age),
		}, from)
	}
}
