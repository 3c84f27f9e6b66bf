package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// reportHalfLife is the age at which the weight of a load report is halved.
	reportHalfLife = 2 * time.Second
	// loadPenalty is the fraction by which a full replica slows down decoding.
	loadPenalty      = 0.25
	crossZoneLatency = 3 * time.Millisecond
)

// ExpectedFinish chooses the replica with the earliest expected finish: the uncached part of
// the prefill, and decoding at the replica's speed, which falls with its load. Ties are broken
// at random.
type ExpectedFinish struct {
	Rand *rand.Rand
}

// Choose implements Policy.
func (p ExpectedFinish) Choose(estimate RequestEstimate, candidates []Candidate) int {
	best := 0
	bestSeconds := math.Inf(1)
	start := p.Rand.IntN(len(candidates))
	for n := range candidates {
		i := (start + n) % len(candidates)
		if seconds := finishSeconds(estimate, &candidates[i]); seconds < bestSeconds {
			best, bestSeconds = i, seconds
		}
	}
	return best
}

func finishSeconds(estimate RequestEstimate, c *Candidate) float64 {
	slowness := max(c.Slowness, 1)
	seconds := estimate.Prefill.Seconds() * (1 - c.CachedFraction) * slowness
	seconds += estimate.Decode.Seconds() * slowness * (1 + loadPenalty*load(c))
	if !c.SameZone {
		seconds += crossZoneLatency.Seconds()
	}
	return seconds
}

// load estimates how full the replica is: this node's own requests, plus the scaled logarithm
// of the reported total, weighted by the age of the report.
func load(c *Candidate) float64 {
	own := float64(c.Running) / float64(max(c.Limit, 1))
	if c.ReportAge < 0 || c.ReportedRunning == 0 {
		return own
	}
	weight := math.Exp2(-c.ReportAge.Seconds() / reportHalfLife.Seconds())
	return own + weight*math.Log2(1+float64(c.ReportedRunning))/reportedLoadScale
}

// reportedLoadScale scales the base-2 logarithm of the reported load to about 1.
const reportedLoadScale = 6
