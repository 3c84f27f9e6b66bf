package engine

import (
	"container/list"

	"galenatrestle/internal/openai"
)

// prefixCache is an LRU of prefix blocks of openai.PrefixBlockWords words.
// The engine's lock guards it.
type prefixCache struct {
	bound   int // blocks
	order   *list.List
	entries map[uint64]*list.Element
	// changed is told of each block that came or went.
	changed func(hash uint64, stored bool)
}

func newPrefixCache(tokens int, changed func(hash uint64, stored bool)) *prefixCache {
	return &prefixCache{
		bound:   tokens / openai.PrefixBlockWords,
		order:   list.New(),
		entries: make(map[uint64]*list.Element),
		changed: changed,
	}
}

// cached returns how many of the prefixes, shortest first, are there, and
// counts them as used.
func (c *prefixCache) cached(prefixes []uint64) int {
	for i, hash := range prefixes {
		element, ok := c.entries[hash]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(prefixes)
}

// store adds the prefixes and drops the least recently used past the bound.
func (c *prefixCache) store(prefixes []uint64) {
	for _, hash := range prefixes {
		if _, ok := c.entries[hash]; ok {
			continue
		}
		c.entries[hash] = c.order.PushFront(hash)
		c.changed(hash, true)
	}
	for c.order.Len() > c.bound {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.entries, oldest)
		c.changed(oldest, false)
	}
}

// clear drops everything, without events: a crash loses them.
func (c *prefixCache) clear() {
	c.order.Init()
	clear(c.entries)
}
