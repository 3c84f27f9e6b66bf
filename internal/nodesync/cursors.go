package nodesync

import (
	"sync"
	"time"
)

// toldOverlap is the time before the last exchange with a node of which it is told once
// more: an answer may be lost, and what came in while it was made may be missing in it.
const toldOverlap = roundEvery

// cursors are the times up to which each other node was told of placements. They are
// safe for concurrent use, and bounded by MaxNodes.
type cursors struct {
	mu   sync.Mutex
	told map[string]time.Time
}

// of is the time from which on the node is to be told.
func (c *cursors) of(node string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.told[node].Add(-toldOverlap)
}

// set notes that the node was told of all up to the time.
func (c *cursors) set(node string, at time.Time) {
	if node == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.told) >= MaxNodes {
		c.told = nil
	}
	if c.told == nil {
		c.told = make(map[string]time.Time)
	}
	c.told[node] = at
}

// forget has the node told of all again: it may have started anew.
func (c *cursors) forget(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.told, node)
}
