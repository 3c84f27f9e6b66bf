package router

import "galenatrestle/internal/balancer"

// Choice describes the chosen replica as seen when it was chosen.
type Choice struct {
	// Eligible is the number of replicas with a free slot that suited the request.
	Eligible int
	// Running is the number of this node's requests there before this one, bounded by Limit.
	Running int
	Limit   int
	// Slowness is the time between tokens relative to the pool's median.
	Slowness float64
	// Cached is the fraction of the prefill expected to be saved by the prefix cache.
	Cached float64
	// SameZone refers to the availability zone of this node.
	SameZone bool
}

func choiceOf(c *balancer.Candidate, eligible int) Choice {
	return Choice{
		Eligible: eligible, Running: c.Running, Limit: c.Limit,
		Slowness: c.Slowness, Cached: c.CachedFraction, SameZone: c.SameZone,
	}
}
