package ratelimit

import (
	"time"

	"galenatrestle/internal/boottime"
	ratelimitv1 "galenatrestle/internal/gen/trestle/ratelimit/v1"
)

// ToProto converts the limits to messages sent at the given instant.
func ToProto(limits []Limit, now boottime.Instant) []*ratelimitv1.Limit {
	messages := make([]*ratelimitv1.Limit, 0, len(limits))
	for _, l := range limits {
		messages = append(messages, limitToProto(l, now))
	}
	return messages
}

// FromProto converts received limits. A limit's ObservedAt is callStart minus its age. For
// limits in a response callStart is when the call began, for those in a request when it was
// received.
func FromProto(messages []*ratelimitv1.Limit, callStart boottime.Instant) []Limit {
	limits := make([]Limit, 0, len(messages))
	for _, l := range messages {
		limits = append(limits, limitFromProto(l, callStart))
	}
	return limits
}

func limitToProto(l Limit, now boottime.Instant) *ratelimitv1.Limit {
	return &ratelimitv1.Limit{
		Replica: l.Replica, StartedAt: l.StartedAt, PerSecond: l.PerSecond, Lifted: l.Lifted, Age: now.Sub(l.ObservedAt).Microseconds(),
	}
}

func limitFromProto(l *ratelimitv1.Limit, callStart boottime.Instant) Limit {
	return Limit{
		Replica: l.GetReplica(), StartedAt: l.GetStartedAt(), PerSecond: l.GetPerSecond(), Lifted: l.GetLifted(),
		ObservedAt: callStart.Add(-microseconds(l.GetAge())),
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
