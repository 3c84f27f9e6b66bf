package memstore

import (
	"errors"
	"sync"

	"galenatrestle/internal/platform"
)

// CallCount is the number of calls of one kind by result.
type CallCount struct {
	Calls       int64 `json:"calls"`
	RateLimited int64 `json:"rate_limited"`
	Unavailable int64 `json:"unavailable"`
}

// counters counts calls by kind.
type counters struct {
	mu     sync.Mutex
	counts map[platform.Call]*CallCount
}

// newCounters returns counters at zero.
func newCounters() *counters {
	return &counters{counts: make(map[platform.Call]*CallCount)}
}

// add counts a call.
func (c *counters) add(call platform.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(call).Calls++
}

// fail counts a call's failure, where it is the platform's.
func (c *counters) fail(call platform.Call, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(err, platform.ErrRateLimited):
		c.of(call).RateLimited++
	case errors.Is(err, platform.ErrUnavailable):
		c.of(call).Unavailable++
	}
}

// of returns the count of a kind; c.mu is held.
func (c *counters) of(call platform.Call) *CallCount {
	count, ok := c.counts[call]
	if !ok {
		count = &CallCount{}
		c.counts[call] = count
	}
	return count
}

// Calls returns the counts by kind of call. A waiting watch is one call.
func (s *Store) Calls() map[platform.Call]CallCount {
	s.calls.mu.Lock()
	defer s.calls.mu.Unlock()
	counts := make(map[platform.Call]CallCount, len(s.calls.counts))
	for call, count := range s.calls.counts {
		counts[call] = *count
	}
	return counts
}
