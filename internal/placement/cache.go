package placement

import "time"

const (
	// cachedFor is how long a part is taken to stay in a replica's cache after
	// its last use by this node: at the usual load a replica's memory is
	// written over in about twice this time.
	cachedFor = 12 * time.Second
	// maxParts bounds the parts remembered for one replica.
	maxParts = 1024
)

// cache remembers which prompt parts a replica was given last. It is a hint:
// the replica may have dropped them.
type cache struct {
	usedAt map[uint64]time.Time
}

// add notes that the replica was given the parts.
func (c *cache) add(now time.Time, parts []Part) {
	ids := make([]uint64, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	c.note(now, ids)
}

// note is add for the parts' identities.
func (c *cache) note(now time.Time, ids []uint64) {
	if c.usedAt == nil {
		c.usedAt = make(map[uint64]time.Time)
	}
	for _, id := range ids {
		c.usedAt[id] = now
	}
	if len(c.usedAt) > maxParts {
		c.dropOld(now)
	}
}

func (c *cache) dropOld(now time.Time) {
	for id, at := range c.usedAt {
		if now.Sub(at) > cachedFor/2 {
			delete(c.usedAt, id)
		}
	}
	if len(c.usedAt) > maxParts {
		clear(c.usedAt)
	}
}

// tokens is the length of the leading parts that the replica holds. Prompts are
// cached from their start, so that a part which it was given stands for all
// before it.
func (c *cache) tokens(now time.Time, parts []Part) int {
	deepest := -1
	for i, p := range parts {
		if at, ok := c.usedAt[p.ID]; ok && now.Sub(at) <= cachedFor {
			deepest = i
		}
	}
	total := 0
	for _, p := range parts[:deepest+1] {
		total += p.Tokens
	}
	return total
}
