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
	// canCopy is whether replicas can copy cached parts from each other.
	canCopy bool
	// mostPrefilled is the replica that has prefilled the most tokens of the parts; nil: none is
	// known. mostPrefilledTokens is the number of these tokens.
	mostPrefilled       *replicaState
	mostPrefilledTokens int
}

// maxCopyFailureScore is the failure score from which parts are not copied from a replica: one
// lost connection, after which its cache is probably lost, too.
const maxCopyFailureScore = 1.0

// locatePrefix finds the available replica that has prefilled the most of the prompt's shared
// parts, and the primary and secondary replicas on the side of the request's class.
func locatePrefix(now time.Time, r *Request, available, side []*replicaState) prefixLocation {
	if len(r.Shared) == 0 {
		return prefixLocation{}
	}
	p := prefixLocation{canCopy: r.CanCopyCache}
	p.primary, p.secondary = rendezvousReplicas(r, side)
	if !r.CanCopyCache {
		return p
	}
	for _, s := range available {
		tokens := s.cache.cachedTokens(now, r.Shared)
		if tokens > p.mostPrefilledTokens && s.cache.prefilled(now, r.Shared) && s.failureScoreAt(now) < maxCopyFailureScore {
			p.mostPrefilled, p.mostPrefilledTokens = s, tokens
		}
	}
	return p
}

// expectedCachedTokens returns the number of shared prompt tokens that the replica is expected to
// have cached.
func (p *prefixLocation) expectedCachedTokens(now time.Time, r *Request, s *replicaState) int {
	cached := s.cache.cachedTokens(now, r.Shared)
	if s == p.primary {
		cached = max(cached, int(primaryCachedShare*float64(r.sharedTokens())))
	}
	return cached
}

// copyableTokens returns the number of tokens that the replica can copy from mostPrefilled,
// beyond those it has cached.
func (p *prefixLocation) copyableTokens(s *replicaState, cached int) int {
	if s == p.mostPrefilled {
		return 0
	}
	return max(p.mostPrefilledTokens-cached, 0)
}

// source returns the replica to copy shared parts from, or nil. If no replica is known to have
// them, as after a restart of the nodes, it returns the primary replica, or the secondary for
// the primary itself: a copy that finds nothing is cheap.
func (p *prefixLocation) source(s *replicaState, cached int) *replicaState {
	switch {
	case p.copyableTokens(s, cached) > 0:
		return p.mostPrefilled
	case !p.canCopy || p.mostPrefilled != nil || cached > 0:
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
	var firstWeight, secondWeight uint64
	var first, second *replicaState
	for _, s := range states {
		weight := rendezvousHash(part, s.replica.ID)
		switch {
		case first == nil || weight > firstWeight:
			secondWeight, second = firstWeight, first
			firstWeight, first = weight, s
		case second == nil || weight > secondWeight:
			secondWeight, second = weight, s
		}
	}
	return first, second
}
