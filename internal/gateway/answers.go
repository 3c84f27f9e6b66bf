package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"galenatrestle/internal/answer"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/refusal"
)

// headerLastEventID names the last event that a caller has of a stream.
const headerLastEventID = "Last-Event-ID"

// KeptAnswer answers GET /requests/{id}.
type KeptAnswer struct {
	ID string `json:"id"`
	// State is "running", "done", "failed" or "cancelled".
	State       answer.State `json:"state"`
	Upstream    string       `json:"upstream"`
	Attempts    int          `json:"attempts"`
	Streamed    bool         `json:"streamed"`
	ContentType string       `json:"content_type"`
	// Outcome and Error are set for a failed answer.
	Outcome refusal.Outcome     `json:"outcome,omitempty"`
	Error   *openai.ErrorDetail `json:"error,omitempty"`
	// Events are a stream's events, or one event with the whole body.
	Events []KeptEvent `json:"events"`
}

// KeptEvent is one event of a KeptAnswer.
type KeptEvent struct {
	ID   int64           `json:"id"`
	Data json.RawMessage `json:"data"`
}

// caller finds the workspace of a request for a kept answer. A node that
// closes still tells of its answers.
func (s *Server) caller(r *http.Request) (string, error) {
	index := s.options.Config()
	if index == nil {
		return "", refusal.New(refusal.NotConfigured, "check", "this node has no configuration yet")
	}
	workspace, err := authenticate(index, r)
	if err != nil {
		return "", err
	}
	return workspace.Name, nil
}

// getAnswer answers GET /requests/{id}.
func (s *Server) getAnswer(w http.ResponseWriter, r *http.Request) {
	workspace, err := s.caller(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	id := r.PathValue("id")
	status, events, err := s.options.Resolver.Get(r.Context(), id, workspace)
	if err != nil {
		s.refuse(w, err)
		return
	}
	w.Header().Set(headerRequestID, id)
	writeJSON(w, http.StatusOK, keptAnswer(id, status, events))
}

func keptAnswer(id string, status answer.Status, events []answer.Event) KeptAnswer {
	kept := KeptAnswer{
		ID:          id,
		State:       status.State,
		Upstream:    status.Upstream,
		Attempts:    status.Attempts,
		Streamed:    status.Streamed,
		ContentType: status.ContentType,
		Events:      make([]KeptEvent, 0, len(events)),
	}
	if status.Refusal != nil {
		kept.Outcome = status.Refusal.Outcome
		detail := errorBody(status.Refusal).Error
		kept.Error = &detail
	}
	for _, e := range events {
		kept.Events = append(kept.Events, KeptEvent{ID: e.ID, Data: asJSON(e.Data)})
	}
	return kept
}

// asJSON returns the data as it is where it is JSON, else as a string.
func asJSON(data []byte) json.RawMessage {
	if json.Valid(data) {
		return data
	}
	quoted, err := json.Marshal(string(data))
	if err != nil {
		return json.RawMessage("null")
	}
	return quoted
}

// followAnswer answers GET /requests/{id}/stream with the events after
// Last-Event-ID, as they come.
func (s *Server) followAnswer(w http.ResponseWriter, r *http.Request) {
	workspace, err := s.caller(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	after, err := lastEventID(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	id := r.PathValue("id")
	out := newStreamSink(outlet{
		server:  s,
		w:       w,
		prepare: func(h http.Header) { h.Set(headerRequestID, id) },
		keep:    func([]byte) {},
	})
	out.after = after
	status, err := s.options.Resolver.Follow(r.Context(), id, workspace, after, func(events []answer.Event) error {
		for _, e := range events {
			if err := out.chunk(e.Data); err != nil {
				return err
			}
		}
		return out.broken()
	})
	s.endFollow(r, out, status, err)
}

// endFollow ends a followed stream as the answer itself ended.
func (s *Server) endFollow(r *http.Request, out *streamSink, status answer.Status, err error) {
	switch {
	case r.Context().Err() != nil || errors.Is(err, errCallerLost):
	case err != nil:
		out.fail(refusal.From(err))
	case status.State == answer.Done:
		_ = out.end()
	case status.Refusal != nil:
		out.fail(status.Refusal)
	default:
		gone := refusal.New(refusal.CallerGone, "fetch answer", "the answer was cancelled, as nobody followed it")
		gone.Outcome = refusal.Unknown
		out.fail(gone)
	}
}

func lastEventID(r *http.Request) (int64, error) {
	text := r.Header.Get(headerLastEventID)
	if text == "" {
		return 0, nil
	}
	after, err := strconv.ParseInt(text, 10, 64)
	if err != nil || after < 0 {
		return 0, refusal.BadField(headerLastEventID, text, "not the id of an event")
	}
	return after, nil
}
