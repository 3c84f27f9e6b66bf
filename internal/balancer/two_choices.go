package balancer

import "math/rand/v2"

// TwoChoices chooses the less loaded of two random replicas, by this node's requests in
// flight. It is the baseline for ExpectedFinish.
type TwoChoices struct {
	Rand *rand.Rand
}

// Choose implements Policy.
func (p TwoChoices) Choose(_ RequestEstimate, candidates []Candidate) int {
	first := p.Rand.IntN(len(candidates))
	second := p.Rand.IntN(len(candidates))
	if candidates[second].Running < candidates[first].Running {
		return second
	}
	return first
}
