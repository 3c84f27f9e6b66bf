package balancer

import "slices"

// maxPrefixes bounds the prefixes remembered for one replica.
const maxPrefixes = 512

// PrefixHistory remembers which prompts a replica was given last. It is a hint: the
// replica's own cache may have dropped them.
type PrefixHistory struct {
	// last holds the number of the last use of each.
	last  map[uint64]uint64
	clock uint64
}

// Add notes that the replica was given a prompt with these prefixes.
func (p *PrefixHistory) Add(hashes []uint64) {
	if p.last == nil {
		p.last = make(map[uint64]uint64)
	}
	for _, hash := range hashes {
		p.clock++
		p.last[hash] = p.clock
	}
	if len(p.last) > maxPrefixes {
		p.dropOldHalf()
	}
}

func (p *PrefixHistory) dropOldHalf() {
	uses := make([]uint64, 0, len(p.last))
	for _, use := range p.last {
		uses = append(uses, use)
	}
	slices.Sort(uses)
	middle := uses[len(uses)/2]
	for hash, use := range p.last {
		if use < middle {
			delete(p.last, hash)
		}
	}
}

// Drop forgets the prefixes, after a prefill that took as long as without them.
func (p *PrefixHistory) Drop(hashes []uint64) {
	for _, hash := range hashes {
		delete(p.last, hash)
	}
}

// Match returns the part of the prefixes, from 0 to 1, that the replica was
// given; the longest known one counts.
func (p *PrefixHistory) Match(hashes []uint64) float64 {
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := p.last[hashes[i]]; ok {
			return float64(i+1) / float64(len(hashes))
		}
	}
	return 0
}
