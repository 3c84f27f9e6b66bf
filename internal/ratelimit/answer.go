package ratelimit

import (
	"galenatrestle/internal/boottime"
	"galenatrestle/internal/replica"
)

// Observation is what one answer of a replica says of its rate.
type Observation struct {
	Replica replica.Replica
	// Limited says that the answer names a rate, PerSecond.
	Limited   bool
	PerSecond float64
	// Succeeded answers are the replica's own to a request that it ran well. One without a
	// rate lifts an earlier limit; a failure without one says nothing.
	Succeeded bool
	// SentAt is when the request was sent, ReceivedAt when the head of its answer came.
	SentAt, ReceivedAt boottime.Instant
}
