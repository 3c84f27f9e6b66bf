package nodesync

import (
	"sync"
	"time"

	"galenatrestle/internal/boottime"
)

// limitsInterval is the interval at which limits that have not changed are sent to a node again: a message
// may have been lost, and their age counts.
const limitsInterval = time.Second

// limitsSent is when the limits were last sent to a node, and how often they had changed.
type limitsSent struct {
	changes uint64
	at      boottime.Instant
}

// limitCursors keeps what each other node was sent of the limits. It is safe for concurrent use. At
// MaxNodes entries it is cleared, which only causes limits to be sent again.
type limitCursors struct {
	mu   sync.Mutex
	sent map[string]limitsSent
}

// isDue reports whether the limits must be sent to the node, and takes them as sent.
func (c *limitCursors) isDue(node string, changes uint64, now boottime.Instant) bool {
	if node == "" {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if before, known := c.sent[node]; known && before.changes == changes && now.Sub(before.at) < limitsInterval {
		return false
	}
	if c.sent == nil || len(c.sent) >= MaxNodes {
		c.sent = make(map[string]limitsSent)
	}
	c.sent[node] = limitsSent{changes: changes, at: now}
	return true
}

// reset records that the node may have got nothing.
func (c *limitCursors) reset(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sent, node)
}
