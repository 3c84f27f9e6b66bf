package router

import "galenatrestle/internal/balancer"

// Choice describes the chosen replica at the time of the choice.
type Choice struct {
	// Eligible is the number of replicas with a free slot that suited the request.
	Eligible int
	// Running is the number of requests that this node already ran on the replica; Limit is the
	// most that it may run there.
	Running int
	Limit   int
	// Slowness is the time between tokens relative to the pool's median.
	Slowness float64
	// Cached is the fraction of the prefill expected to be saved by the prefix cache.
	Cached float64
	// SameZone reports whether the replica is in the availability zone of this node.
	SameZone bool
}

func choiceOf(c *balancer.Candidate, eligible int) Choice {
	return Choice{
		Eligible: eligible, Running: c.Running, Limit: c.Limit,
		Slowness: c.Slowness, Cached: c.CachedFraction, SameZone: c.SameZone,
	}
}
