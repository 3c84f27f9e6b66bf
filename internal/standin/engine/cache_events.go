package engine

import (
	"math/rand/v2"
	"time"

	"galenatrestle/internal/openai"
)

// maxCacheEvents bounds the events kept for readers that are behind.
const maxCacheEvents = 4096

// lateEvent is a cache event and when it can be read.
type lateEvent struct {
	openai.CacheEvent
	readable time.Time
}

// cacheEvents keeps the newest events, late and with gaps. The engine's lock
// guards it.
type cacheEvents struct {
	lag      time.Duration
	loss     float64
	random   *rand.Rand
	sequence int64
	events   []lateEvent
}

func (c *cacheEvents) add(hash uint64, stored bool) {
	c.sequence++
	if c.random.Float64() < c.loss {
		return
	}
	if len(c.events) == maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, lateEvent{
		CacheEvent: openai.CacheEvent{Sequence: c.sequence, PrefixHash: hash, Stored: stored},
		readable:   time.Now().Add(c.lag),
	})
}

// after returns the events past a sequence that can be read by now.
func (c *cacheEvents) after(sequence int64) []openai.CacheEvent {
	now := time.Now()
	list := []openai.CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > sequence && !event.readable.After(now) {
			list = append(list, event.CacheEvent)
		}
	}
	return list
}
