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
		Replica: l.Replica, StartedAt: l.StartedAt, PerSecond: l.PerSecond, Lifted: l.Lifted, Upstream: l.Upstream, Brittle: l.Brittle.Brittle, RefusalsPerSecond: l.Brittle.RefusalsPerSecond, Age: now.Sub(l.ObservedAt).Microseconds(),
	}
}

func limitFromProto(l *ratelimitv1.Limit, callStart boottime.Instant) Limit {
	return Limit{
		Replica: l.GetReplica(), StartedAt: l.GetStartedAt(), PerSecond: l.GetPerSecond(), Lifted: l.GetLifted(),
		Upstream: l.GetUpstream(), Brittle: Brittleness{Brittle: l.GetBrittle(), RefusalsPerSecond: l.GetRefusalsPerSecond()},
		ObservedAt: callStart.Add(-microseconds(l.GetAge())),
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func askToProto(ask *Ask, now boottime.Instant) *ratelimitv1.AcquireRequest {
	message := &ratelimitv1.AcquireRequest{Limit: limitToProto(ask.Limit, now)}
	if s := ask.Slot; s != nil {
		message.Slot = &ratelimitv1.Slot{Node: s.Node, Id: s.ID, Slots: int32(s.Slots), Rank: int32(s.Rank), Wait: s.Wait.Microseconds()}
	}
	return message
}

func askFromProto(m *ratelimitv1.AcquireRequest, callStart boottime.Instant) Ask {
	ask := Ask{Limit: limitFromProto(m.GetLimit(), callStart)}
	if s := m.GetSlot(); s != nil {
		ask.Slot = &SlotAsk{Node: s.GetNode(), ID: s.GetId(), Slots: int(s.GetSlots()), Rank: int(s.GetRank()), Wait: microseconds(s.GetWait())}
	}
	return ask
}

func reportToProto(r *SlotReport) *ratelimitv1.ReportRequest {
	m := &ratelimitv1.ReportRequest{Replica: r.Replica, StartedAt: r.StartedAt, Node: r.Node, Ended: r.Ended, Held: r.Held, Refusals: int32(r.Refusals)}
	if r.Unasked != nil {
		unasked := int32(*r.Unasked)
		m.Unasked = &unasked
	}
	return m
}

func reportFromProto(m *ratelimitv1.ReportRequest) *SlotReport {
	r := &SlotReport{
		Replica: m.GetReplica(), StartedAt: m.GetStartedAt(), Node: m.GetNode(), Ended: m.GetEnded(), Held: m.GetHeld(), Refusals: int(m.GetRefusals()),
	}
	if m.Unasked != nil {
		unasked := int(m.GetUnasked())
		r.Unasked = &unasked
	}
	return r
}
