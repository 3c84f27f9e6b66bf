package configsync

import (
	"sync"
	"sync/atomic"

	"galenatrestle/internal/config"
)

// Current is the configuration in force at a node. Reading takes no lock. It
// only ever moves to a higher revision.
type Current struct {
	state atomic.Pointer[State]

	mu      sync.Mutex
	changed chan struct{}
}

// NewCurrent returns a Current with nothing in force.
func NewCurrent() *Current {
	return &Current{changed: make(chan struct{})}
}

// Index returns the lookups in force, or nil before the first configuration.
func (c *Current) Index() *config.Index {
	state := c.state.Load()
	if state == nil {
		return nil
	}
	return state.Index
}

// Revision returns the revision in force, or zero.
func (c *Current) Revision() int64 { return c.state.Load().Revision() }

// State returns what is in force, or nil.
func (c *Current) State() *State { return c.state.Load() }

// Changed returns a channel that is closed at the next move.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Move puts state in force if its revision is higher than the present one; it
// reports whether it did.
func (c *Current) Move(state *State) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.Revision() <= c.Revision() {
		return false
	}
	c.state.Store(state)
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}
