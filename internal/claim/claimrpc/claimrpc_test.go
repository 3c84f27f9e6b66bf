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

// fakeServer is a fake Server that returns preset replies and records its requests.
type fakeServer struct {
	lastBegin   claim.BeginRequest
	lastFinish  claim.FinishRequest
	beginReply  claim.BeginReply
	finishReply claim.FinishReply
	err         error
}

func (s *fakeServer) ServeBegin(_ context.Context, request claim.BeginRequest) (claim.BeginReply, error) {
	s.lastBegin = request
	return s.beginReply, s.err
}

func (s *fakeServer) ServeFinish(_ context.Context, request claim.FinishRequest) (claim.FinishReply, error) {
	s.lastFinish = request
	return s.finishReply, s.err
}

func serve(t *testing.T, fake *fakeServer) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(NewHandler(fake))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

var key = claim.Key{Workspace: "w", Upstream: "u", IdempotencyKey: "k"}

func TestBeginRoundTrip(t *testing.T) {
	replies := map[string]claim.BeginReply{
		"run":      {Verdict: claim.Run},
		"recorded": {Verdict: claim.Recorded, Answer: claim.Answer{Status: 201, Header: http.Header{"A": {"1", "2"}}, Body: []byte("b")}},
		"refused":  {Refused: refusal.ClaimLedgerFull},
		"not the holder, decision from an earlier term": {
			Verdict: claim.Unknown, NotHolder: true, Hint: claim.Hint{Holder: "n2", Epoch: 7},
		},
	}
	for name, reply := range replies {
		fake := &fakeServer{beginReply: reply}
		request := claim.BeginRequest{
			Key: key, CallFingerprint: claim.FingerprintOf("POST", "/x", []byte("body")), Attempt: uuid.New(), Node: "n1", Boot: uuid.New(),
		}
		got, err := NewClient("http", nil).Begin(t.Context(), serve(t, fake), request)
		if err != nil || !reflect.DeepEqual(got, reply) {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
		if fake.lastBegin != request {
			t.Errorf("%s: the server received %+v, not %+v", name, fake.lastBegin, request)
		}
	}
}

func TestFinishRoundTrip(t *testing.T) {
	fake := &fakeServer{finishReply: claim.FinishReply{NotHolder: true, Hint: claim.Hint{Holder: "n3", Epoch: 8}}}
	request := claim.FinishRequest{
		Key: key, Attempt: uuid.New(), Phase: claimv1.Phase_PHASE_RECORDED, Answer: &claimv1.Answer{Status: 200, Body: []byte("b")},
	}
	got, err := NewClient("http", nil).Finish(t.Context(), serve(t, fake), request)
	if err != nil || got != fake.finishReply {
		t.Errorf("got %+v, %v", got, err)
	}
	if fake.lastFinish.Key != key || fake.lastFinish.Attempt != request.Attempt || fake.lastFinish.Phase != request.Phase ||
		string(fake.lastFinish.Answer.GetBody()) != "b" {
		t.Errorf("the server received %+v", fake.lastFinish)
	}
}

func TestServerErrorsAreUnavailable(t *testing.T) {
	address := serve(t, &fakeServer{err: errors.New("uncertain")})
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
	client := claimv1connect.NewClaimServiceClient(http.DefaultClient, "http://"+serve(t, &fakeServer{}))
	_, err := client.Begin(t.Context(), connect.NewRequest(&claimv1.BeginRequest{Attempt: []byte("short")}))
	if connect.CodeOf(err) != connect.CodeInvalidArgument {
		t.Errorf("begin: got %v", err)
	}
	_, err = client.Finish(t.Context(), connect.NewRequest(&claimv1.FinishRequest{Attempt: []byte("short")}))
	if connect.CodeOf(err) != connect.CodeInvalidArgument {
		t.Errorf("finish: got %v", err)
	}
}
