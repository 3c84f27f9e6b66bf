package ratelimit

import (
	"time"

	"galenatrestle/internal/boottime"
	ratelimitv1 "galenatrestle/internal/gen/trestle/ratelimit/v1"
)

// ToProto is the limits as they are told to another node at the instant.
func ToProto(limits []Limit, now boottime.Instant) []*ratelimitv1.Limit {
	told := make([]*ratelimitv1.Limit, 0, len(limits))
	for _, l := range limits {
		told = append(told, limitToProto(l, now))
	}
	return told
}

// FromProto is the limits as another node told them in a call that began at the instant, from
// which their ages count.
func FromProto(told []*ratelimitv1.Limit, began boottime.Instant) []Limit {
	limits := make([]Limit, 0, len(told))
	for _, l := range told {
		limits = append(limits, limitFromProto(l, began))
	}
	return limits
}

func limitToProto(l Limit, now boottime.Instant) *ratelimitv1.Limit {
	return &ratelimitv1.Limit{
		Replica: l.Replica, StartedAt: l.StartedAt, PerSecond: l.PerSecond, Lifted: l.Lifted, Age: now.Sub(l.ObservedAt).Microseconds(),
	}
}

func limitFromProto(l *ratelimitv1.Limit, began boottime.Instant) Limit {
	return Limit{
		Replica: l.GetReplica(), StartedAt: l.GetStartedAt(), PerSecond: l.GetPerSecond(), Lifted: l.GetLifted(),
		ObservedAt: began.Add(-microseconds(l.GetAge())),
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
