package ratelimit

import "galenatrestle/internal/boottime"

// Limit is the request rate that a replica announced last.
type Limit struct {
	// Replica and StartedAt identify the process, as in its registration.
	Replica   string
	StartedAt int64
	// PerSecond is the rate in requests per second of all nodes together.
	PerSecond float64
	// Lifted means that the replica no longer announces a rate.
	Lifted bool
	// ObservedAt is when the response that announced or lifted the limit was received.
	ObservedAt boottime.Instant
}
