package balancer

import "time"

// Candidate is the known state of a replica with a free slot.
type Candidate struct {
	// Running is the number of this node's requests at the replica, Limit their maximum.
	Running int
	Limit   int
	// Slowness is the replica's time between tokens relative to the typical one; 1 is typical.
	Slowness float64
	// CachedFraction is the fraction of the prompt's prefill saved by the replica's cache.
	CachedFraction float64
	// SameZone reports that the replica is in this node's availability zone.
	SameZone bool
	// ReportedRunning is the last reported number of all nodes' requests, ReportAge the age of
	// the report; negative without a report.
	ReportedRunning int
	ReportAge       time.Duration
}

// RequestEstimate is the expected duration of a request.
type RequestEstimate struct {
	// Prefill and Decode are the times at a typical replica, without cache hits.
	Prefill time.Duration
	Decode  time.Duration
}

// Policy chooses a replica.
type Policy interface {
	// Choose returns the index of one of candidates, which must not be empty.
	Choose(estimate RequestEstimate, candidates []Candidate) int
}
