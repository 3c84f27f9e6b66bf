package ratelimit

import (
	"galenatrestle/internal/boottime"
	"galenatrestle/internal/replica"
)

// Limit is what a replica announced last of the requests that it takes.
type Limit struct {
	// Replica and StartedAt identify the process, as in its registration. Upstream is its upstream.
	Replica   string
	StartedAt int64
	Upstream  string
	// PerSecond is the rate in requests per second of all nodes together.
	PerSecond float64
	// Lifted means that the replica announces no rate.
	Lifted  bool
	Brittle Brittleness
	// ObservedAt is when the response that announced or lifted the limit was received.
	ObservedAt boottime.Instant
}

// Brittleness is how many refusals a replica bears.
type Brittleness struct {
	// Brittle is whether refusing more than RefusalsPerSecond requests ends the replica.
	Brittle           bool
	RefusalsPerSecond float64
}

// inForce reports whether the replica takes requests under a limit.
func (l *Limit) inForce() bool { return !l.Lifted || l.Brittle.Brittle }

// sameTerms reports whether only the age of the limits differs.
func (l *Limit) sameTerms(other *Limit) bool {
	return l.StartedAt == other.StartedAt && l.Lifted == other.Lifted && l.PerSecond == other.PerSecond && l.Brittle == other.Brittle
}

func (l *Limit) isOf(process replica.Process) bool {
	return l.Replica == process.ID && l.StartedAt == process.StartedAt
}
