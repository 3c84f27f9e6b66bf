package answerrpc

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/answer"
	answerv1 "galenatrestle/internal/gen/trestle/answer/v1"
	"galenatrestle/internal/gen/trestle/answer/v1/answerv1connect"
	"galenatrestle/internal/refusal"
)

// maxMessageBytes bounds a peer's message.
const maxMessageBytes = 32 << 20

// errNoEnd says that a peer's stream ended without the answer's end.
var errNoEnd = errors.New("stream ended without the answer's end")

// Resolver finds answers here or at the node that their id names. It is safe
// for concurrent use.
type Resolver struct {
	self   string
	store  *answer.Store
	locate Locate
	dialer Dialer
}

// NewResolver returns a resolver for the node self, whose answers are in store.
func NewResolver(self string, store *answer.Store, locate Locate, dialer Dialer) *Resolver {
	return &Resolver{self: self, store: store, locate: locate, dialer: dialer}
}

// Get returns the answer as far as it has come. The error is a *refusal.Error.
func (r *Resolver) Get(ctx context.Context, id, workspace string) (answer.Status, []answer.Event, error) {
	peer, refused := r.peerOf(id)
	if refused != nil {
		return answer.Status{}, nil, refused
	}
	if peer == "" {
		return r.getLocal(id, workspace)
	}
	response, err := r.client(peer).Get(ctx, connect.NewRequest(&answerv1.GetRequest{
		RequestId: id, Workspace: workspace,
	}))
	if err != nil {
		return answer.Status{}, nil, refuseRemote(id, peer, false, err)
	}
	return statusFromProto(response.Msg.GetStatus()), eventsFromProto(response.Msg.GetEvents()), nil
}

// Follow gives the events after the id to yield, as they come, and returns the
// final status. An error of yield is returned as it is; others are
// *refusal.Error.
func (r *Resolver) Follow(ctx context.Context, id, workspace string, after int64, yield func([]answer.Event) error) (answer.Status, error) {
	peer, refused := r.peerOf(id)
	if refused != nil {
		return answer.Status{}, refused
	}
	if peer == "" {
		return r.followLocal(ctx, id, workspace, after, yield)
	}
	return r.followRemote(ctx, peer, &answerv1.FollowRequest{
		RequestId: id, Workspace: workspace, AfterId: after,
	}, yield)
}

// peerOf returns the address of the node that has the answer, empty for this
// one.
func (r *Resolver) peerOf(id string) (string, *refusal.Error) {
	node, err := answer.NodeOf(id)
	if err != nil {
		return "", unknown(id, "", "not a request id", err)
	}
	if node == r.self {
		return "", nil
	}
	address, ok := r.locate(node)
	if !ok {
		return "", unknown(id, node, "the node that held the answer is gone", nil)
	}
	return address, nil
}

func (r *Resolver) client(address string) answerv1connect.AnswerServiceClient {
	return answerv1connect.NewAnswerServiceClient(r.dialer.HTTPClient(address), r.dialer.URL(address),
		connect.WithReadMaxBytes(maxMessageBytes))
}

func (r *Resolver) getLocal(id, workspace string) (answer.Status, []answer.Event, error) {
	record, err := r.store.Find(time.Now(), id, workspace)
	if err != nil {
		return answer.Status{}, nil, refuseLocal(id, err)
	}
	status, events, err := record.Snapshot()
	if err != nil {
		return answer.Status{}, nil, refuseLocal(id, err)
	}
	return status, events, nil
}

func (r *Resolver) followLocal(ctx context.Context, id, workspace string, after int64, yield func([]answer.Event) error) (answer.Status, error) {
	record, err := r.store.Find(time.Now(), id, workspace)
	if err != nil {
		return answer.Status{}, refuseLocal(id, err)
	}
	status, err := follow(ctx, record, after, yield)
	if errors.Is(err, answer.ErrBadPosition) || errors.Is(err, answer.ErrUnknown) {
		return status, refuseLocal(id, err)
	}
	return status, err
}

func (r *Resolver) followRemote(ctx context.Context, peer string, request *answerv1.FollowRequest, yield func([]answer.Event) error) (answer.Status, error) {
	stream, err := r.client(peer).Follow(ctx, connect.NewRequest(request))
	if err != nil {
		return answer.Status{}, refuseRemote(request.GetRequestId(), peer, false, err)
	}
	defer stream.Close()
	begun := false
	for stream.Receive() {
		message := stream.Msg()
		if message.GetStatus() != nil {
			return statusFromProto(message.GetStatus()), nil
		}
		begun = true
		if err := yield(eventsFromProto(message.GetEvents())); err != nil {
			return answer.Status{}, err
		}
	}
	cause := stream.Err()
	if cause == nil {
		cause = errNoEnd
	}
	return answer.Status{}, refuseRemote(request.GetRequestId(), peer, begun, cause)
}
