package placement

import "time"

const (
	// cacheTTL is how long a part counts as cached after its last use by this node: at typical
	// load a replica's cache turns over in about twice this time.
	cacheTTL = 12 * time.Second
	// assumedPrefillTime is how long after its first use a part counts as prefilled if this node
	// did not see the answer start. It is longer than most prompts wait: a part that is copied
	// before it is prefilled must be prefilled twice.
	assumedPrefillTime = time.Second
	// maxCachedParts bounds the parts tracked per replica.
	maxCachedParts = 1024
)

// cache tracks which prompt parts were recently sent to a replica. The replica may have evicted
// them since.
type cache struct {
	parts map[uint64]cachedPart
}

type cachedPart struct {
	usedAt time.Time
	// prefilledAt is when the part was observed, or is assumed, to be prefilled.
	prefilledAt time.Time
}

func (c *cache) add(now time.Time, parts []PromptPart) {
	for _, p := range parts {
		c.touch(now, p.ID)
	}
	c.evict(now)
}

// touch records a use of the part.
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

// markPrefilled records that the parts that are tracked are prefilled now.
func (c *cache) markPrefilled(now time.Time, parts []PromptPart) {
	for _, p := range parts {
		if part, known := c.parts[p.ID]; known && part.prefilledAt.After(now) {
			part.prefilledAt = now
			c.parts[p.ID] = part
		}
	}
}

// sinceUsed returns the time since the last use of the part. For a part that is not tracked it
// is longer than any TTL.
func (c *cache) sinceUsed(now time.Time, id uint64) time.Duration {
	return now.Sub(c.parts[id].usedAt)
}

// evict drops the parts not used for half of cacheTTL if more than maxCachedParts are tracked,
// and all parts if that is not enough.
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

// deepestCached returns the index of the last part that counts as cached, or -1. Replicas cache
// prefixes, so it implies all parts before it.
func (c *cache) deepestCached(now time.Time, parts []PromptPart) int {
	for i := len(parts) - 1; i >= 0; i-- {
		if part, known := c.parts[parts[i].ID]; known && now.Sub(part.usedAt) <= cacheTTL {
			return i
		}
	}
	return -1
}

// cachedTokens returns the length of the leading parts that count as cached.
func (c *cache) cachedTokens(now time.Time, parts []PromptPart) int {
	return totalTokens(parts[:c.deepestCached(now, parts)+1])
}

// prefilled reports whether the last part that counts as cached is prefilled.
func (c *cache) prefilled(now time.Time, parts []PromptPart) bool {
	i := c.deepestCached(now, parts)
	return i >= 0 && !c.parts[parts[i].ID].prefilledAt.After(now)
}
