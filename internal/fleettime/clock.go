package fleettime

import (
	"slices"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
)

const (
	// rememberFor is how long a node's clock counts after it was last told.
	rememberFor = 30 * time.Second
	// maxClocks bounds the clocks that count: a median of more is no better.
	maxClocks = 64
	// agreeEvery is how long a median stands; between two of them time goes on by the
	// VM's boot-time clock.
	agreeEvery = time.Second
)

// offset is what a clock says beyond the boot-time clock of this VM.
type offset struct {
	by time.Duration
	at boottime.Instant
}

// Clock tells the fleet's time of day. It is safe for concurrent use.
type Clock struct {
	boot boottime.Clock
	// wall is this VM's time of day.
	wall func() time.Time

	mu      sync.Mutex
	offsets map[string]offset
	// agreed is the median offset that was worked out at agreedAt.
	agreed   time.Duration
	agreedAt boottime.Instant
}

// New returns a clock that knows this VM's alone.
func New(boot boottime.Clock, wall func() time.Time) *Clock {
	return &Clock{boot: boot, wall: wall, offsets: make(map[string]offset)}
}

// Told takes in what another node's clock said when it was heard at the instant. The
// network's delay, a few milliseconds, is not taken off.
func (c *Clock) Told(node string, wall time.Time, heardAt boottime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.offsets[node]; !known && len(c.offsets) >= maxClocks {
		c.forget(heardAt)
		if len(c.offsets) >= maxClocks {
			return
		}
	}
	c.offsets[node] = offset{by: sinceEpoch(wall, heardAt), at: heardAt}
}

// sinceEpoch is what the wall clock says beyond the boot-time clock.
func sinceEpoch(wall time.Time, at boottime.Instant) time.Duration {
	return time.Duration(wall.UnixNano() - int64(at))
}

// forget drops clocks that were not told lately. The lock is held.
func (c *Clock) forget(now boottime.Instant) {
	for node, o := range c.offsets {
		if now.Sub(o.at) > rememberFor {
			delete(c.offsets, node)
		}
	}
}

// Wall is this VM's own time of day, to be told to other nodes.
func (c *Clock) Wall() time.Time { return c.wall() }

// Now is the fleet's time of day.
func (c *Clock) Now() time.Time {
	now := c.boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.agreedAt == 0 || now.Sub(c.agreedAt) >= agreeEvery {
		c.agreed, c.agreedAt = c.median(now), now
	}
	return time.Unix(0, int64(now)+int64(c.agreed))
}

// median is the middle one of the offsets, this VM's included. The lock is held.
func (c *Clock) median(now boottime.Instant) time.Duration {
	c.forget(now)
	all := make([]time.Duration, 0, len(c.offsets)+1)
	all = append(all, sinceEpoch(c.wall(), now))
	for _, o := range c.offsets {
		all = append(all, o.by)
	}
	slices.Sort(all)
	return all[len(all)/2]
}
