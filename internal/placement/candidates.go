package placement

import (
	"math"
	"time"
)

// In a large fleet, load reports are about a third of a second old, during which dozens of
// requests arrive. If every node picked the replica with the lowest reported load, all would
// pick the same few replicas. A node that places a small share of the load therefore considers
// a few randomly drawn replicas, besides those known to have the prompt cached: the less loaded
// of two random choices is nearly as good as the least loaded of all (M. Mitzenmacher, "How
// useful is old information?", 2000).
const (
	// minCandidates is the expected number of replicas of a side that a node considers if it places
	// the smallest share of the load. With more candidates, the nodes of a large fleet pick the same
	// replicas, which delays short prompts: with 80 nodes and 160 replicas, 2, 4, 8 and all
	// candidates served 0.85, 0.83, 0.77 and 0.68 of them in time. With 18 nodes and 13 replicas 2
	// served 0.01 fewer.
	minCandidates = 4.0
	// fullViewNodes is the number of nodes up to which each considers all replicas. Beyond it the
	// fraction falls with the square of the node's share.
	fullViewNodes = 32.0
	// shareAveragingTime is the averaging time of the running requests: several answers per node.
	shareAveragingTime = 2 * time.Second
)

// candidateFraction returns the fraction of a side's replicas to consider for a request;
// 1 or more means all.
func (u *upstream) candidateFraction(side []*replicaState) float64 {
	if u.considerAll {
		return 1
	}
	fraction := fullViewNodes * u.ownFraction()
	if u.objective != nil {
		return max(fraction*fraction*fraction*fraction, minObjectiveCandidates/float64(max(len(side), 1)))
	}
	return max(fraction*fraction, minCandidates/float64(max(len(side), 1)))
}

// ownFraction returns the fraction of the running requests that this node placed.
func (u *upstream) ownFraction() float64 {
	if u.avgRunningAll == 0 {
		return 1
	}
	return u.avgRunningOwn / u.avgRunningAll
}

// updateRunningAverages updates the averages of running requests. They are averaged separately
// because their ratio is too noisy on a node with only a few requests.
func (u *upstream) updateRunningAverages(elapsed time.Duration, own, all int) {
	decay := math.Exp(-elapsed.Seconds() / shareAveragingTime.Seconds())
	u.avgRunningOwn = decay*u.avgRunningOwn + (1-decay)*float64(own)
	u.avgRunningAll = decay*u.avgRunningAll + (1-decay)*float64(all)
}

// isCandidate reports whether to consider the replica: it may have the prompt cached, or it is
// drawn at random.
func (u *upstream) isCandidate(s *replicaState, p *prefixLocation, fraction float64) bool {
	if fraction >= 1 || s == p.primary || s == p.secondary || p.hasMostPrefilled(s) {
		return true
	}
	return u.rand.Float64() < fraction
}
