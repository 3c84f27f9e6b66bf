package placement

import "time"

const (
	// cacheTTL is how long a part counts as cached after its last use by this node: at typical
	// load a replica's cache turns over in about twice this time.
	cacheTTL = 12 * time.Second
	// assumedPrefillTime is when a part counts as prefilled if this node did not see the answer
	// start. It is longer than most prompts wait: copying a part before it is prefilled yields
	// nothing, and the part is prefilled twice.
	assumedPrefillTime = time.Second
	// maxCachedParts bounds the parts tracked per replica.
	maxCachedParts = 1024
)

// cache tracks which prompt parts were recently sent to a replica. It is a hint: the replica
// may have evicted them.
type cache struct {
	parts map[uint64]cachedPart
}

type cachedPart struct {
	usedAt time.Time
	// prefilledAt is when the part is prefilled, observed or assumed.
	prefilledAt time.Time
}

func (c *cache) add(now time.Time, parts []PromptPart) {
	for _, p := range parts {
		c.touch(now, p.ID)
	}
	c.evict(now)
}

func (c *cache) touch(now time.Time, id uint64) {
	if c.parts == nil {
		c.parts = make(map[uint64]cachedPart)
	}
	part, known := c.parts[id]
	if !known || now.Sub(part.usedAt) > cacheTTL {
		part.prefilledAt = now.Add(assumedPrefillTime)
	}
	part.usedAt = now
	c.parts[id] = part
}

func (c *cache) markPrefilled(now time.Time, parts []PromptPart) {
	for _, p := range parts {
		if part, known := c.parts[p.ID]; known && part.prefilledAt.After(now) {
			part.prefilledAt = now
			c.parts[p.ID] = part
		}
	}
}

// sinceUsed returns the time since the last use of the part; very long for an unknown part.
func (c *cache) sinceUsed(now time.Time, id uint64) time.Duration {
	return now.Sub(c.parts[id].usedAt)
}

// evict drops old parts, or all, when there are more than maxCachedParts.
func (c *cache) evict(now time.Time) {
	if len(c.parts) <= maxCachedParts {
		return
	}
	for id, part := range c.parts {
		if now.Sub(part.usedAt) > cacheTTL/2 {
			delete(c.parts, id)
		}
	}
	if len(c.parts) > maxCachedParts {
		clear(c.parts)
	}
}

// deepest returns the index of the last part that counts as cached, or -1. Replicas cache
// prefixes, so it implies all parts before it.
func (c *cache) deepest(now time.Time, parts []PromptPart) int {
	for i := len(parts) - 1; i >= 0; i-- {
		if part, known := c.parts[parts[i].ID]; known && now.Sub(part.usedAt) <= cacheTTL {
			return i
		}
	}
	return -1
}

// cachedTokens returns the length of the leading parts that count as cached.
func (c *cache) cachedTokens(now time.Time, parts []PromptPart) int {
	return length(parts[:c.deepest(now, parts)+1])
}

func (c *cache) prefilled(now time.Time, parts []PromptPart) bool {
	i := c.deepest(now, parts)
	return i >= 0 && !c.parts[parts[i].ID].prefilledAt.After(now)
}
