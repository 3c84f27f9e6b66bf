package ratelimit

import "galenatrestle/internal/boottime"

// Limit is what a replica last said of the rate at which it takes requests.
type Limit struct {
	// Replica and StartedAt name the process, as in its registration.
	Replica   string
	StartedAt int64
	// PerSecond is the requests a second that it takes from all nodes together.
	PerSecond float64
	// Lifted says that it names no rate any more.
	Lifted bool
	// ObservedAt is when the answer came that said so.
	ObservedAt boottime.Instant
}
