package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefix is what is known of where the shared parts of one prompt are.
type prefix struct {
	// home is the replica to which the parts lead where no other is known, and second
	// the one that follows it in the order.
	home   *state
	second *state
	// copies says that a replica can copy parts from another one.
	copies bool
	// holder is the replica that has read most of them, heldTokens how much; nil:
	// none is known.
	holder     *state
	heldTokens int
}

// doubtfulFrom is the failure score from which a replica is not copied from: one lost
// connection, after which its cache is most likely gone, too.
const doubtfulFrom = 1.0

// findPrefix looks for the replicas that hold the prompt's shared parts, and for
// their home among those of the side.
func findPrefix(now time.Time, r *Request, open, side []*state) prefix {
	if len(r.Shared) == 0 {
		return prefix{}
	}
	p := prefix{copies: r.CanCopyCache}
	p.home, p.second = homesOf(r, side)
	if !r.CanCopyCache {
		return p
	}
	for _, s := range open {
		tokens := s.cache.tokens(now, r.Shared)
		if tokens > p.heldTokens && s.cache.hasRead(now, r.Shared) && s.failuresAt(now) < doubtfulFrom {
			p.holder, p.heldTokens = s, tokens
		}
	}
	return p
}

// cachedAt is the tokens that the replica is expected to have in its cache.
func (p *prefix) cachedAt(now time.Time, r *Request, s *state) int {
	cached := s.cache.tokens(now, r.Shared)
	if s == p.home {
		cached = max(cached, int(homeShare*float64(r.sharedTokens())))
	}
	return cached
}

// copied is the tokens that the replica can copy from the holder beyond those that
// it has.
func (p *prefix) copied(s *state, cached int) int {
	if s == p.holder {
		return 0
	}
	return max(p.heldTokens-cached, 0)
}

// source is the replica from which another one copies shared parts, or nil. Where
// no holder is known, as after the nodes' restart, one of the homes may have them:
// asking it costs next to nothing.
func (p *prefix) source(s *state, cached int) *state {
	switch {
	case p.copied(s, cached) > 0:
		return p.holder
	case !p.copies || p.holder != nil || cached > 0:
		return nil
	case s == p.home:
		return p.second
	default:
		return p.home
	}
}

// homeRank is a replica's place in the order for a prompt part: all nodes work out the
// same order, and a lost replica moves only its own prompts.
func homeRank(part uint64, replica string) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], part)
	d := xxhash.New()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(replica)
	return d.Sum64()
}

// homesOf are the first two replicas to which the prompt's deepest shared part leads.
func homesOf(r *Request, states []*state) (*state, *state) {
	part := r.Shared[len(r.Shared)-1].ID
	var best, next uint64
	var first, second *state
	for _, s := range states {
		rank := homeRank(part, s.replica.ID)
		switch {
		case first == nil || rank > best:
			next, second = best, first
			best, first = rank, s
		case second == nil || rank > next:
			next, second = rank, s
		}
	}
	return first, second
}
