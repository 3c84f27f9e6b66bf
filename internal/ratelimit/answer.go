package ratelimit

import (
	"galenatrestle/internal/boottime"
	"galenatrestle/internal/replica"
)

// Observation is what one response of a replica says about its rate limit.
type Observation struct {
	Replica replica.Replica
	// Limited reports whether the response carries a rate limit, PerSecond.
	Limited   bool
	PerSecond float64
	// Succeeded reports whether the replica itself executed the request successfully. Such a
	// response without a rate lifts an earlier limit; a failure without a rate does not.
	Succeeded bool
	// SentAt is when the request was sent, ReceivedAt when the response head was received.
	SentAt, ReceivedAt boottime.Instant
}
