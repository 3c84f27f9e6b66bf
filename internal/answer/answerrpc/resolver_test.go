package answerrpc

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"galenatrestle/internal/answer"
	"galenatrestle/internal/refusal"
)

// twoNodes are a node that holds answers and one that is asked for them.
type twoNodes struct {
	store  *answer.Store
	server *httptest.Server
	asked  *Resolver
}

type plainDialer struct{}

func (plainDialer) HTTPClient(string) *http.Client { return http.DefaultClient }
func (plainDialer) URL(address string) string      { return "http://" + address }

func newTwoNodes(t *testing.T) *twoNodes {
	t.Helper()
	n := &twoNodes{store: answer.NewStore(answer.Options{})}
	mux := http.NewServeMux()
	mux.Handle(NewHandler(n.store))
	n.server = httptest.NewServer(mux)
	t.Cleanup(n.server.Close)
	locate := func(node string) (string, bool) {
		return n.server.Listener.Addr().String(), node == "owner"
	}
	n.asked = NewResolver("asked", answer.NewStore(answer.Options{}), locate, plainDialer{})
	return n
}

func (n *twoNodes) open(t *testing.T) *answer.Record {
	t.Helper()
	record, err := n.store.Open(time.Now(), answer.Meta{
		ID: answer.NewRequestID("owner"), Workspace: "w", Upstream: "llm", Streamed: true, Retention: time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func add(t *testing.T, record *answer.Record, data ...string) {
	t.Helper()
	for i, d := range data {
		if err := record.Append(time.Now(), 1, int64(i+1), []byte(d)); err != nil {
			t.Fatal(err)
		}
	}
}

func reasonOf(err error) refusal.Reason {
	var refused *refusal.Error
	if !errors.As(err, &refused) || refused.Outcome != refusal.Unknown {
		return ""
	}
	return refused.Reason
}

func TestResumeAtAnotherNode(t *testing.T) {
	n := newTwoNodes(t)
	record := n.open(t)
	add(t, record, "a", "b")
	first := make(chan struct{})
	go func() {
		<-first
		_ = record.Append(time.Now(), 1, 3, []byte("c"))
		_ = record.Finish(time.Now(), 1, 3)
	}()
	got, after := "", int64(1)
	status, err := n.asked.Follow(t.Context(), record.Meta().ID, "w", after, func(events []answer.Event) error {
		if got == "" {
			close(first)
		}
		for _, e := range events {
			after++
			if e.ID != after {
				t.Errorf("event %d, want %d", e.ID, after)
			}
			got += string(e.Data)
		}
		return nil
	})
	if err != nil || got != "bc" || status.State != answer.Done || status.Upstream != "llm" {
		t.Fatalf("got %q, %+v, %v", got, status, err)
	}
	status, events, err := n.asked.Get(t.Context(), record.Meta().ID, "w")
	if err != nil || len(events) != 3 || status.State != answer.Done {
		t.Fatalf("got %v, %+v, %v", events, status, err)
	}
}

func TestFailedAnswerKeepsItsRefusal(t *testing.T) {
	n := newTwoNodes(t)
	record := n.open(t)
	record.Fail(time.Now(), &refusal.Error{Reason: refusal.UpstreamFailed, Outcome: refusal.Unknown, Message: "m"})
	status, _, err := n.asked.Get(t.Context(), record.Meta().ID, "w")
	if err != nil || status.State != answer.Failed || reasonOf(status.Refusal) != refusal.UpstreamFailed {
		t.Fatalf("got %+v, %v", status, err)
	}
}

func TestRefusals(t *testing.T) {
	n := newTwoNodes(t)
	record := n.open(t)
	add(t, record, "a")
	id := record.Meta().ID
	tests := []struct {
		name, id, workspace string
		after               int64
		want                refusal.Reason
	}{
		{"another workspace's", id, "other", 0, refusal.UnknownRequest},
		{"no such answer", answer.NewRequestID("owner"), "w", 0, refusal.UnknownRequest},
		{"node gone", answer.NewRequestID("gone"), "w", 0, refusal.UnknownRequest},
		{"here, but unknown", answer.NewRequestID("asked"), "w", 0, refusal.UnknownRequest},
		{"no id", "x", "w", 0, refusal.UnknownRequest},
		{"event to come", id, "w", 2, refusal.BadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			never := func([]answer.Event) error { t.Error("events were told"); return nil }
			if _, err := n.asked.Follow(t.Context(), test.id, test.workspace, test.after, never); reasonOf(err) != test.want {
				t.Errorf("follow: %v, want %s", err, test.want)
			}
			if test.after > 0 {
				return
			}
			if _, _, err := n.asked.Get(t.Context(), test.id, test.workspace); reasonOf(err) != test.want {
				t.Errorf("get: %v, want %s", err, test.want)
			}
		})
	}
}

func TestOwnerDead(t *testing.T) {
	n := newTwoNodes(t)
	record := n.open(t)
	add(t, record, "a")
	_, err := n.asked.Follow(t.Context(), record.Meta().ID, "w", 0, func([]answer.Event) error {
		n.server.CloseClientConnections()
		return nil
	})
	if reasonOf(err) != refusal.UpstreamFailed {
		t.Fatalf("owner died in the answer: %v, want %s", err, refusal.UpstreamFailed)
	}
	n.server.Close()
	if _, _, err := n.asked.Get(t.Context(), record.Meta().ID, "w"); reasonOf(err) != refusal.UnknownRequest {
		t.Fatalf("owner dead: %v, want %s", err, refusal.UnknownRequest)
	}
}

func TestFollowEndsWithItsCaller(t *testing.T) {
	n := newTwoNodes(t)
	record := n.open(t)
	add(t, record, "a")
	ctx, cancel := context.WithCancel(t.Context())
	_, err := n.asked.Follow(ctx, record.Meta().ID, "w", 0, func([]answer.Event) error {
		if record.Readers() != 1 {
			t.Error("the owner has no reader")
		}
		cancel()
		return nil
	})
	if err == nil {
		t.Fatal("a running answer came to its end")
	}
}
