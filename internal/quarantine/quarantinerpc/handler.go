package quarantinerpc

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	quarantinev1 "galenatrestle/internal/gen/trestle/quarantine/v1"
	"galenatrestle/internal/gen/trestle/quarantine/v1/quarantinev1connect"
	"galenatrestle/internal/quarantine"
)

// handler merges what peers send.
type handler struct{ tracker *quarantine.Tracker }

// NewHandler returns the path and the handler to mount on the peer listener.
func NewHandler(tracker *quarantine.Tracker, options ...connect.HandlerOption) (string, http.Handler) {
	return quarantinev1connect.NewQuarantineServiceHandler(&handler{tracker: tracker}, options...)
}

// Exchange implements quarantinev1connect.QuarantineServiceHandler.
func (h *handler) Exchange(_ context.Context, request *connect.Request[quarantinev1.ExchangeRequest]) (*connect.Response[quarantinev1.ExchangeResponse], error) {
	now := time.Now()
	h.tracker.Merge(now, fromProto(request.Msg.GetRecords()))
	response := &quarantinev1.ExchangeResponse{}
	if request.Msg.GetAll() {
		response.Records = toProto(h.tracker.Records(now))
	}
	return connect.NewResponse(response), nil
}
