package balancer

import "time"

// Candidate is what is known of a replica with a free slot.
type Candidate struct {
	// Running counts this node's requests at the replica, Limit its limit.
	Running int
	Limit   int
	// Slowness is the replica's time between tokens as a multiple of the
	// usual one; 1 is usual.
	Slowness float64
	// CachedFraction is the part of the prompt's prefill that the cache saves.
	CachedFraction float64
	// SameZone says that the replica is in this node's availability zone.
	SameZone bool
	// ReportedRunning counts all nodes' requests there as last reported,
	// ReportAge how long ago; a negative age means that none was reported.
	ReportedRunning int
	ReportAge       time.Duration
}

// RequestEstimate is what is expected of the request.
type RequestEstimate struct {
	// Prefill is the time to read the whole prompt, Answer the time to
	// generate the answer, both at a usual replica.
	Prefill time.Duration
	Decode  time.Duration
}

// Policy chooses a replica.
type Policy interface {
	// Choose returns the index of one of at least one candidates.
	Choose(need RequestEstimate, candidates []Candidate) int
}
