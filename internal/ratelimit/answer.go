package ratelimit

import (
	"galenatrestle/internal/boottime"
	"galenatrestle/internal/replica"
)

// Observation is what one response of a replica says about the requests that it takes.
type Observation struct {
	Replica replica.Replica
	// Limited reports whether the response carries a rate limit, PerSecond.
	Limited   bool
	PerSecond float64
	Brittle   Brittleness
	// Succeeded reports whether the replica itself executed the request successfully. Such a
	// response lifts what it does not repeat; a failure does not.
	Succeeded bool
	// SentAt is when the request was sent, ReceivedAt when the response head was received.
	SentAt, ReceivedAt boottime.Instant
}

// limit returns the limit that the response leaves in force after the given one of the same process.
func (o *Observation) limit(before Limit) Limit {
	l := Limit{
		Replica: o.Replica.ID, StartedAt: o.Replica.StartedAt, Upstream: o.Replica.Upstream,
		PerSecond: o.PerSecond, Lifted: !o.Limited, Brittle: o.Brittle, ObservedAt: o.ReceivedAt,
	}
	if o.Succeeded && o.SentAt > before.ObservedAt {
		return l
	}
	if !o.Limited {
		l.PerSecond, l.Lifted = before.PerSecond, before.Lifted
	}
	if !o.Brittle.Brittle {
		l.Brittle = before.Brittle
	}
	return l
}
