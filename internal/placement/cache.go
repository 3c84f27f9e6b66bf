package placement

import "time"

const (
	// cachedFor is how long a part is taken to stay in a replica's cache after
	// its last use by this node: at the usual load a replica's memory is
	// written over in about twice this time.
	cachedFor = 12 * time.Second
	// readAfter is how long after a prompt was sent to a replica its parts count as
	// read there, where this node did not see the answer begin: longer than most
	// prompts wait. Copying a part that is not read yet brings nothing, and it is
	// read twice.
	readAfter = time.Second
	// maxParts bounds the parts remembered for one replica.
	maxParts = 1024
)

// cache remembers which prompt parts a replica was given last. It is a hint:
// the replica may have dropped them.
type cache struct {
	parts map[uint64]cachedPart
}

// cachedPart is one part that a replica was given.
type cachedPart struct {
	usedAt time.Time
	// readAt is when the replica has read the part, as far as is known.
	readAt time.Time
}

// add notes that the replica was given the parts.
func (c *cache) add(now time.Time, parts []PromptPart) {
	for _, p := range parts {
		c.note(now, p.ID)
	}
	c.bound(now)
}

// note notes the use of one part.
func (c *cache) note(now time.Time, id uint64) {
	if c.parts == nil {
		c.parts = make(map[uint64]cachedPart)
	}
	part, known := c.parts[id]
	if !known || now.Sub(part.usedAt) > cachedFor {
		part.readAt = now.Add(readAfter)
	}
	part.usedAt = now
	c.parts[id] = part
}

// read notes that the replica has read the parts.
func (c *cache) read(now time.Time, parts []PromptPart) {
	for _, p := range parts {
		if part, known := c.parts[p.ID]; known && part.readAt.After(now) {
			part.readAt = now
			c.parts[p.ID] = part
		}
	}
}

// usedSince says how long ago the part was used; a part that is not known counts
// as never used.
func (c *cache) usedSince(now time.Time, id uint64) time.Duration {
	return now.Sub(c.parts[id].usedAt)
}

// bound forgets old parts where there are too many.
func (c *cache) bound(now time.Time) {
	if len(c.parts) <= maxParts {
		return
	}
	for id, part := range c.parts {
		if now.Sub(part.usedAt) > cachedFor/2 {
			delete(c.parts, id)
		}
	}
	if len(c.parts) > maxParts {
		clear(c.parts)
	}
}

// deepest is the index of the last of the parts that the replica was given and has
// not dropped, or -1. Prompts are cached from their start, so that a part stands
// for all before it.
func (c *cache) deepest(now time.Time, parts []PromptPart) int {
	for i := len(parts) - 1; i >= 0; i-- {
		if part, known := c.parts[parts[i].ID]; known && now.Sub(part.usedAt) <= cachedFor {
			return i
		}
	}
	return -1
}

// tokens is the length of the leading parts that the replica was given.
func (c *cache) tokens(now time.Time, parts []PromptPart) int {
	return length(parts[:c.deepest(now, parts)+1])
}

// hasRead says whether the replica has read the deepest of the parts that it was
// given.
func (c *cache) hasRead(now time.Time, parts []PromptPart) bool {
	i := c.deepest(now, parts)
	return i >= 0 && !c.parts[parts[i].ID].readAt.After(now)
}
