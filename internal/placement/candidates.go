package placement

import (
	"math"
	"time"
)

// A node of a large fleet hears a third of a second late what the others have placed. In
// that time dozens of requests come, and where each node takes the replica that looks
// idlest of all, all go to the same few. So a node that places a small part of the load
// looks at a few replicas drawn at random, beside those that are known to hold the
// prompt: of two random ones the less loaded is nearly as good as the least loaded of
// all, and no two nodes look at the same ones (M. Mitzenmacher, "How useful is old
// information?", 2000).
const (
	// leastCandidates is how many replicas of a side are looked at by the smallest
	// of parts. With 80 nodes before 160 replicas, 2, 4, 8 and all of them had 0.85,
	// 0.83, 0.77 and 0.68 of the short prompts on time; with 18 nodes before 13
	// replicas, where a side has six, 2 cost a hundredth.
	leastCandidates = 4.0
	// nodesThatSeeAll is the number of nodes up to which each looks at all replicas. The
	// part falls with the square from there.
	nodesThatSeeAll = 32.0
	// shareMemory is the time over which the running requests are averaged: some
	// answers of each node.
	shareMemory = 2 * time.Second
)

// candidateShare is the part of a side's replicas that a request is placed among.
func (u *upstream) candidateShare(side []*state) float64 {
	if u.seeAll {
		return 1
	}
	seen := nodesThatSeeAll * u.ownShare()
	return max(seen*seen, leastCandidates/float64(max(len(side), 1)))
}

// ownShare is the part of the running requests that this node has placed.
func (u *upstream) ownShare() float64 {
	if u.runningAll == 0 {
		return 1
	}
	return u.runningOwn / u.runningAll
}

// averageRunning takes the present numbers of running requests into the averages. They
// are averaged one by one: the part itself wavers between nothing and several times its
// mean where a node has placed a handful.
func (u *upstream) averageRunning(passed time.Duration, own, all int) {
	keep := math.Exp(-passed.Seconds() / shareMemory.Seconds())
	u.runningOwn = keep*u.runningOwn + (1-keep)*float64(own)
	u.runningAll = keep*u.runningAll + (1-keep)*float64(all)
}

// isCandidate says whether the replica is looked at: it is known for the prompt, or
// drawn.
func (u *upstream) isCandidate(s *state, p *prefix, share float64) bool {
	if share >= 1 || s == p.home || s == p.second || s == p.holder {
		return true
	}
	return u.rand.Float64() < share
}
