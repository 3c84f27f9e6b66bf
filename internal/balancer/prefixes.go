package balancer

import "slices"

// maxPrefixes bounds the prefixes tracked per replica.
const maxPrefixes = 512

// PrefixHistory records the prefixes of the prompts last sent to a replica. It is a hint: the
// replica may have evicted them from its cache.
type PrefixHistory struct {
	// lastUse maps a prefix hash to the sequence number of its last use.
	lastUse map[uint64]uint64
	uses    uint64
}

// Add records that a prompt with these prefixes was sent to the replica.
func (p *PrefixHistory) Add(hashes []uint64) {
	if p.lastUse == nil {
		p.lastUse = make(map[uint64]uint64)
	}
	for _, hash := range hashes {
		p.uses++
		p.lastUse[hash] = p.uses
	}
	if len(p.lastUse) > maxPrefixes {
		p.evictOlderHalf()
	}
}

func (p *PrefixHistory) evictOlderHalf() {
	uses := make([]uint64, 0, len(p.lastUse))
	for _, use := range p.lastUse {
		uses = append(uses, use)
	}
	slices.Sort(uses)
	median := uses[len(uses)/2]
	for hash, use := range p.lastUse {
		if use < median {
			delete(p.lastUse, hash)
		}
	}
}

// Drop removes the prefixes, after a prefill that showed no cache hit.
func (p *PrefixHistory) Drop(hashes []uint64) {
	for _, hash := range hashes {
		delete(p.lastUse, hash)
	}
}

// Match returns the fraction, from 0 to 1, of a prompt's prefixes that the longest recorded one
// covers. hashes are ordered from the shortest prefix to the longest.
func (p *PrefixHistory) Match(hashes []uint64) float64 {
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := p.lastUse[hashes[i]]; ok {
			return float64(i+1) / float64(len(hashes))
		}
	}
	return 0
}
