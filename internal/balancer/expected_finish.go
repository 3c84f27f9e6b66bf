package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// reportHalfLife is the age at which a report counts half.
	reportHalfLife = 2 * time.Second
	// loadPart is the part of the answer's time that a full replica adds.
	loadPart = 0.25
	// zoneCost is the time that another availability zone costs.
	zoneCost = 3 * time.Millisecond
)

// ExpectedFinish takes the replica with the earliest expected finish: prefill
// without what is cached, and the answer at the replica's speed, which falls
// with its load. Ties are broken at random.
type ExpectedFinish struct {
	Rand *rand.Rand
}

// Choose implements Policy.
func (p ExpectedFinish) Choose(need RequestEstimate, candidates []Candidate) int {
	best := 0
	least := math.Inf(1)
	start := p.Rand.IntN(len(candidates))
	for n := range candidates {
		i := (start + n) % len(candidates)
		if cost := finish(need, &candidates[i]); cost < least {
			best, least = i, cost
		}
	}
	return best
}

func finish(need RequestEstimate, c *Candidate) float64 {
	slowness := max(c.Slowness, 1)
	seconds := need.Prefill.Seconds() * (1 - c.CachedFraction) * slowness
	seconds += need.Decode.Seconds() * slowness * (1 + loadPart*load(c))
	if !c.SameZone {
		seconds += zoneCost.Seconds()
	}
	return seconds
}

// load is how full the replica is expected to be: this node's part of it, and
// the reported whole as far as the report is fresh.
func load(c *Candidate) float64 {
	own := float64(c.Running) / float64(max(c.Limit, 1))
	if c.ReportAge < 0 || c.ReportedRunning == 0 {
		return own
	}
	weight := math.Exp2(-c.ReportAge.Seconds() / reportHalfLife.Seconds())
	return own + weight*math.Log2(1+float64(c.ReportedRunning))/reportScale
}

// reportScale brings the logarithm of the reported requests near 1.
const reportScale = 6
