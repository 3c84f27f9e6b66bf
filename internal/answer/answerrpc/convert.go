package answerrpc

import (
	"galenatrestle/internal/answer"
	answerv1 "galenatrestle/internal/gen/trestle/answer/v1"
	"galenatrestle/internal/refusal"
)

func statusToProto(s answer.Status) *answerv1.Status {
	return &answerv1.Status{
		State:       string(s.State),
		Streamed:    s.Streamed,
		HttpStatus:  int32(s.HTTPStatus),
		ContentType: s.ContentType,
		Upstream:    s.Upstream,
		Attempts:    int32(s.Attempts),
		Refusal:     refusalToProto(s.Refusal),
	}
}

func statusFromProto(s *answerv1.Status) answer.Status {
	return answer.Status{
		State:       answer.State(s.GetState()),
		Streamed:    s.GetStreamed(),
		HTTPStatus:  int(s.GetHttpStatus()),
		ContentType: s.GetContentType(),
		Upstream:    s.GetUpstream(),
		Attempts:    int(s.GetAttempts()),
		Refusal:     refusalFromProto(s.GetRefusal()),
	}
}

func refusalToProto(r *refusal.Error) *answerv1.Refusal {
	if r == nil {
		return nil
	}
	return &answerv1.Refusal{Reason: string(r.Reason), Outcome: string(r.Outcome), Message: r.Message}
}

func refusalFromProto(r *answerv1.Refusal) *refusal.Error {
	if r == nil {
		return nil
	}
	return &refusal.Error{
		Reason:  refusal.Reason(r.GetReason()),
		Outcome: refusal.Outcome(r.GetOutcome()),
		Message: r.GetMessage(),
		Step:    step,
	}
}

func eventsToProto(events []answer.Event) []*answerv1.Event {
	list := make([]*answerv1.Event, 0, len(events))
	for _, e := range events {
		list = append(list, &answerv1.Event{Id: e.ID, Data: e.Data})
	}
	return list
}

func eventsFromProto(list []*answerv1.Event) []answer.Event {
	events := make([]answer.Event, 0, len(list))
	for _, e := range list {
		events = append(events, answer.Event{ID: e.GetId(), Data: e.GetData()})
	}
	return events
}
