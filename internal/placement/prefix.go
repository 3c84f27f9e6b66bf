package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixLocation is where the shared parts of one prompt are likely cached.
type prefixLocation struct {
	// primary and secondary are the first two replicas of the parts by rendezvous hashing.
	primary   *replicaState
	secondary *replicaState
	// canCopy says that replicas can copy cached parts from each other.
	canCopy bool
	// best is the replica with the most tokens of them prefilled, bestTokens how many; nil: none
	// known.
	best       *replicaState
	bestTokens int
}

// maxCopyFailureScore is the failure score from which parts are not copied from a replica: one
// lost connection, after which its cache is probably lost, too.
const maxCopyFailureScore = 1.0

// locatePrefix finds the replicas that have the prompt's shared parts prefilled, and the
// primary and secondary replica among side.
func locatePrefix(now time.Time, r *Request, open, side []*replicaState) prefixLocation {
	if len(r.Shared) == 0 {
		return prefixLocation{}
	}
	p := prefixLocation{canCopy: r.CanCopyCache}
	p.primary, p.secondary = rendezvousReplicas(r, side)
	if !r.CanCopyCache {
		return p
	}
	for _, s := range open {
		tokens := s.cache.cachedTokens(now, r.Shared)
		if tokens > p.bestTokens && s.cache.prefilled(now, r.Shared) && s.failureScoreAt(now) < maxCopyFailureScore {
			p.best, p.bestTokens = s, tokens
		}
	}
	return p
}

func (p *prefixLocation) cachedAt(now time.Time, r *Request, s *replicaState) int {
	cached := s.cache.cachedTokens(now, r.Shared)
	if s == p.primary {
		cached = max(cached, int(primaryCachedShare*float64(r.sharedTokens())))
	}
	return cached
}

// copyableTokens returns the number of tokens that the replica can copy from best, beyond the
// cached ones.
func (p *prefixLocation) copyableTokens(s *replicaState, cached int) int {
	if s == p.best {
		return 0
	}
	return max(p.bestTokens-cached, 0)
}

// source returns the replica to copy shared parts from, or nil. If no replica is known to have
// them, as after a restart of the nodes, it returns the primary or secondary one: a failed
// copy costs next to nothing.
func (p *prefixLocation) source(s *replicaState, cached int) *replicaState {
	switch {
	case p.copyableTokens(s, cached) > 0:
		return p.best
	case !p.canCopy || p.best != nil || cached > 0:
		return nil
	case s == p.primary:
		return p.secondary
	default:
		return p.primary
	}
}

// rendezvousHash returns the weight of a replica for a prompt part. All nodes compute the same
// order, and removing a replica moves only its own prompts.
func rendezvousHash(part uint64, replica string) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], part)
	d := xxhash.New()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(replica)
	return d.Sum64()
}

// rendezvousReplicas returns the first two replicas for the prompt's deepest shared part.
func rendezvousReplicas(r *Request, states []*replicaState) (*replicaState, *replicaState) {
	part := r.Shared[len(r.Shared)-1].ID
	var best, next uint64
	var first, second *replicaState
	for _, s := range states {
		rank := rendezvousHash(part, s.replica.ID)
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
