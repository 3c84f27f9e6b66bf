package router

import "galenatrestle/internal/balancer"

// Choice is what was known of the chosen replica when it was chosen.
type Choice struct {
	// Eligible counts the replicas it was chosen from: free ones fit for the request.
	Eligible int
	// Running counts this node's requests there before this one, Limit its limit.
	Running int
	Limit   int
	// Slowness is its time between tokens as a multiple of the usual one.
	Slowness float64
	// Cached is the part of the prompt's prefill that its cache saves.
	Cached float64
	// SameZone says that it is in this node's availability zone.
	SameZone bool
}

func choiceOf(c *balancer.Candidate, fit int) Choice {
	return Choice{
		Eligible: fit, Running: c.Running, Limit: c.Limit,
		Slowness: c.Slowness, Cached: c.Cached, SameZone: c.SameZone,
	}
}
