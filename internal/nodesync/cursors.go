package nodesync

import (
	"sync"
	"time"
)

// cursorOverlap is how far back placements are sent again: a response may have been lost,
// or may lack placements made while it was built.
const cursorOverlap = roundInterval

// placementCursors stores the time up to which placements were sent to each other node.
// It is safe for concurrent use. At MaxNodes entries it is cleared, which only causes
// placements to be sent again.
type placementCursors struct {
	mu        sync.Mutex
	sentUntil map[string]time.Time
}

// since returns the time from which on placements must be sent to the node.
func (c *placementCursors) since(node string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentUntil[node].Add(-cursorOverlap)
}

// set records that all placements up to the time were sent to the node.
func (c *placementCursors) set(node string, at time.Time) {
	if node == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sentUntil) >= MaxNodes {
		c.sentUntil = nil
	}
	if c.sentUntil == nil {
		c.sentUntil = make(map[string]time.Time)
	}
	c.sentUntil[node] = at
}

// reset makes the next message to the node contain all placements: it may have
// restarted.
func (c *placementCursors) reset(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sentUntil, node)
}
