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
	// mostPrefilled has, for each software version, the replica that has prefilled the most tokens of
	// the parts. Cached parts do not fit replicas of another version.
	mostPrefilled []prefilledParts
	// zones keeps copies from forbidden pairs of zones; nil: none are forbidden.
	zones *zoneView
}

// prefilledParts is a replica and the number of tokens of the parts that it has prefilled.
type prefilledParts struct {
	state  *replicaState
	tokens int
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
		if tokens > p.mostPrefilledAt(s.replica.Version).tokens && s.cache.prefilled(now, r.Shared) && s.failureScoreAt(now) < maxCopyFailureScore {
			p.setMostPrefilled(prefilledParts{s, tokens})
		}
	}
	return p
}

// mostPrefilledAt returns what is known at the version; zero: nothing.
func (p *prefixLocation) mostPrefilledAt(version string) prefilledParts {
	for _, m := range p.mostPrefilled {
		if m.state.replica.Version == version {
			return m
		}
	}
	return prefilledParts{}
}

func (p *prefixLocation) setMostPrefilled(m prefilledParts) {
	for i := range p.mostPrefilled {
		if p.mostPrefilled[i].state.replica.Version == m.state.replica.Version {
			p.mostPrefilled[i] = m
			return
		}
	}
	p.mostPrefilled = append(p.mostPrefilled, m)
}

// hasMostPrefilled reports whether the replica has prefilled the most tokens at its version.
func (p *prefixLocation) hasMostPrefilled(s *replicaState) bool {
	for _, m := range p.mostPrefilled {
		if m.state == s {
			return true
		}
	}
	return false
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

// copyableTokens returns the number of tokens that the replica can copy from another one of its
// version, beyond those it has cached.
func (p *prefixLocation) copyableTokens(s *replicaState, cached int) int {
	m := p.mostPrefilledAt(s.replica.Version)
	if s == m.state || p.zones.forbidsCopy(m.state, s) {
		return 0
	}
	return max(m.tokens-cached, 0)
}

// source returns the replica to copy shared parts from, or nil. If no replica is known to have
// them, as after a restart of the nodes, it returns the primary replica, or the secondary for
// the primary itself: a copy that finds nothing is cheap.
func (p *prefixLocation) source(s *replicaState, cached int) *replicaState {
	if p.copyableTokens(s, cached) > 0 {
		return p.mostPrefilledAt(s.replica.Version).state
	}
	if !p.canCopy || len(p.mostPrefilled) > 0 || cached > 0 {
		return nil
	}
	guess := p.primary
	if s == p.primary {
		guess = p.secondary
	}
	if guess == nil || guess.replica.Version != s.replica.Version || p.zones.forbidsCopy(guess, s) {
		return nil
	}
	return guess
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
