package answerrpc

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/answer"
	answerv1 "galenatrestle/internal/gen/trestle/answer/v1"
	"galenatrestle/internal/gen/trestle/answer/v1/answerv1connect"
)

// handler serves a node's answers to its peers.
type handler struct{ store *answer.Store }

// NewHandler returns the path and the handler to mount on the peer listener.
func NewHandler(store *answer.Store, options ...connect.HandlerOption) (string, http.Handler) {
	return answerv1connect.NewAnswerServiceHandler(&handler{store: store}, options...)
}

// Get implements answerv1connect.AnswerServiceHandler.
func (h *handler) Get(_ context.Context, request *connect.Request[answerv1.GetRequest]) (*connect.Response[answerv1.GetResponse], error) {
	record, err := h.store.Find(time.Now(), request.Msg.GetRequestId(), request.Msg.GetWorkspace())
	if err != nil {
		return nil, toConnect(err)
	}
	status, events, err := record.Snapshot()
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&answerv1.GetResponse{
		Status: statusToProto(status),
		Events: eventsToProto(events),
	}), nil
}

// Follow implements answerv1connect.AnswerServiceHandler.
func (h *handler) Follow(ctx context.Context, request *connect.Request[answerv1.FollowRequest], stream *connect.ServerStream[answerv1.FollowResponse]) error {
	record, err := h.store.Find(time.Now(), request.Msg.GetRequestId(), request.Msg.GetWorkspace())
	if err != nil {
		return toConnect(err)
	}
	status, err := follow(ctx, record, request.Msg.GetAfterId(), func(events []answer.Event) error {
		return stream.Send(&answerv1.FollowResponse{Events: eventsToProto(events)})
	})
	if err != nil {
		return toConnect(err)
	}
	return stream.Send(&answerv1.FollowResponse{Status: statusToProto(status)})
}

// follow gives the events after the id to yield until the answer's end.
func follow(ctx context.Context, record *answer.Record, after int64, yield func([]answer.Event) error) (answer.Status, error) {
	reader, err := record.Reader(after)
	if err != nil {
		return answer.Status{}, err
	}
	defer reader.Close()
	for {
		events, status, err := reader.Next(ctx)
		if err != nil {
			return status, err
		}
		if len(events) == 0 {
			return status, nil
		}
		if err := yield(events); err != nil {
			return status, err
		}
	}
}
