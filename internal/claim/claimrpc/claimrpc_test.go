package claimrpc

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"galenatrestle/internal/claim"
	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/gen/trestle/claim/v1/claimv1connect"
	"galenatrestle/internal/refusal"
)

// holder is a fake Server that returns preset replies and records its requests.
type holder struct {
	begun    claim.BeginRequest
	finished claim.FinishRequest
	begin    claim.BeginReply
	finish   claim.FinishReply
	err      error
}

func (h *holder) ServeBegin(_ context.Context, request claim.BeginRequest) (claim.BeginReply, error) {
	h.begun = request
	return h.begin, h.err
}

func (h *holder) ServeFinish(_ context.Context, request claim.FinishRequest) (claim.FinishReply, error) {
	h.finished = request
	return h.finish, h.err
}

func serve(t *testing.T, h *holder) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(NewHandler(h))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

var key = claim.Key{Workspace: "w", Upstream: "u", IdempotencyKey: "k"}

func TestBeginCarriesRequestAndReply(t *testing.T) {
	replies := map[string]claim.BeginReply{
		"run":      {Verdict: claim.Run},
		"recorded": {Verdict: claim.Recorded, Answer: claim.Answer{Status: 201, Header: http.Header{"A": {"1", "2"}}, Body: []byte("b")}},
		"refused":  {Refused: refusal.ClaimLedgerFull},
		"elsewhere, remembered": {
			Verdict: claim.Unknown, NotHolder: true, Hint: claim.Hint{Holder: "n2", Epoch: 7},
		},
	}
	for name, reply := range replies {
		h := &holder{begin: reply}
		request := claim.BeginRequest{
			Key: key, CallFingerprint: claim.FingerprintOf("POST", "/x", []byte("body")), Attempt: uuid.New(), Node: "n1", Boot: uuid.New(),
		}
		got, err := NewClient("http", nil).Begin(t.Context(), serve(t, h), request)
		if err != nil || !reflect.DeepEqual(got, reply) {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
		if h.begun != request {
			t.Errorf("%s: the holder saw %+v, not %+v", name, h.begun, request)
		}
	}
}

func TestFinishCarriesRequestAndReply(t *testing.T) {
	h := &holder{finish: claim.FinishReply{NotHolder: true, Hint: claim.Hint{Holder: "n3", Epoch: 8}}}
	request := claim.FinishRequest{
		Key: key, Attempt: uuid.New(), Phase: claimv1.Phase_PHASE_RECORDED, Answer: &claimv1.Answer{Status: 200, Body: []byte("b")},
	}
	got, err := NewClient("http", nil).Finish(t.Context(), serve(t, h), request)
	if err != nil || got != h.finish {
		t.Errorf("got %+v, %v", got, err)
	}
	if h.finished.Key != key || h.finished.Attempt != request.Attempt || h.finished.Phase != request.Phase ||
		string(h.finished.Answer.GetBody()) != "b" {
		t.Errorf("the holder saw %+v", h.finished)
	}
}

func TestServerErrorsAreUnavailable(t *testing.T) {
	address := serve(t, &holder{err: errors.New("uncertain")})
	_, err := NewClient("http", nil).Begin(t.Context(), address, claim.BeginRequest{Key: key})
	if connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("begin: got %v", err)
	}
	_, err = NewClient("http", nil).Finish(t.Context(), address, claim.FinishRequest{Key: key})
	if connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("finish: got %v", err)
	}
}

func TestMalformedIDsAreRefused(t *testing.T) {
	client := claimv1connect.NewClaimServiceClient(http.DefaultClient, "http://"+serve(t, &holder{}))
	_, err := client.Begin(t.Context(), connect.NewRequest(&claimv1.BeginRequest{Attempt: []byte("short")}))
	if connect.CodeOf(err) != connect.CodeInvalidArgument {
		t.Errorf("begin: got %v", err)
	}
	_, err = client.Finish(t.Context(), connect.NewRequest(&claimv1.FinishRequest{Attempt: []byte("short")}))
	if connect.CodeOf(err) != connect.CodeInvalidArgument {
		t.Errorf("finish: got %v", err)
	}
}
