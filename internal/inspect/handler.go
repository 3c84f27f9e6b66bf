package inspect

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/explain"
	inspectv1 "galenatrestle/internal/gen/trestle/inspect/v1"
	"galenatrestle/internal/gen/trestle/inspect/v1/inspectv1connect"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
)

// handler answers a node's peers.
type handler struct{ sources Sources }

// NewHandler returns the path and the handler to mount on the peer listener.
func NewHandler(sources Sources, options ...connect.HandlerOption) (string, http.Handler) {
	return inspectv1connect.NewInspectServiceHandler(&handler{sources: sources}, options...)
}

// Explain implements inspectv1connect.InspectServiceHandler.
func (h *handler) Explain(_ context.Context, request *connect.Request[inspectv1.ExplainRequest]) (*connect.Response[inspectv1.ExplainResponse], error) {
	return connect.NewResponse(tell(h.sources.Explain, request.Msg.GetRequestId())), nil
}

// Report implements inspectv1connect.InspectServiceHandler.
func (h *handler) Report(context.Context, *connect.Request[inspectv1.ReportRequest]) (*connect.Response[inspectv1.ReportResponse], error) {
	return connect.NewResponse(h.sources.Report()), nil
}

// tell returns a timeline, or since when timelines are kept.
func tell(recorder *explain.Recorder, id string) *inspectv1.ExplainResponse {
	response := &inspectv1.ExplainResponse{
		SinceUnixMs: recorder.Started().UnixMilli(), OldestUnixMs: unixMs(recorder.Oldest()),
	}
	lines, _ := recorder.Find(id)
	for _, line := range lines {
		response.Decisions = append(response.Decisions, &operatorv1.Decision{
			AtUnixMs: line.At.UnixMilli(), Step: line.Step, Peer: line.Peer,
			Decision: line.Decision, Reason: line.Reason,
		})
	}
	return response
}

func unixMs(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}
