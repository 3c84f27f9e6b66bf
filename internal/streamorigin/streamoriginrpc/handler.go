package streamoriginrpc

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"galenatrestle/internal/boottime"
	streamoriginv1 "galenatrestle/internal/gen/trestle/streamorigin/v1"
	"galenatrestle/internal/gen/trestle/streamorigin/v1/streamoriginv1connect"
	"galenatrestle/internal/streamorigin"
)

// handler serves the tracker's records to other nodes.
type handler struct {
	tracker *streamorigin.Tracker
	clock   boottime.Clock
}

// NewHandler returns the path and the handler to mount on the peer listener.
func NewHandler(tracker *streamorigin.Tracker, clock boottime.Clock) (string, http.Handler) {
	return streamoriginv1connect.NewStreamOriginServiceHandler(&handler{tracker: tracker, clock: clock})
}

// Add implements streamoriginv1connect.StreamOriginServiceHandler.
func (h *handler) Add(_ context.Context, request *connect.Request[streamoriginv1.AddRequest]) (*connect.Response[streamoriginv1.AddResponse], error) {
	h.tracker.Add(FromProto(request.Msg.GetStreams(), h.clock()), request.Msg.GetSave())
	return connect.NewResponse(&streamoriginv1.AddResponse{}), nil
}

// Find implements streamoriginv1connect.StreamOriginServiceHandler.
func (h *handler) Find(_ context.Context, request *connect.Request[streamoriginv1.FindRequest]) (*connect.Response[streamoriginv1.FindResponse], error) {
	a := h.tracker.Find(streamorigin.StreamID(request.Msg.GetStream()), request.Msg.GetUpstream())
	response := &streamoriginv1.FindResponse{Versions: a.Versions, Complete: a.Complete}
	if a.Record != nil {
		response.Found = ToProto([]streamorigin.Record{*a.Record}, h.clock())[0]
	}
	return connect.NewResponse(response), nil
}
