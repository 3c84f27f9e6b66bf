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

// handler merges records that peers send.
type handler struct{ tracker *quarantine.Tracker }

// NewHandler returns the path and the handler to mount on the peer listener.
func NewHandler(tracker *quarantine.Tracker, options ...connect.HandlerOption) (string, http.Handler) {
	return quarantinev1connect.NewQuarantineServiceHandler(&handler{tracker: tracker}, options...)
}

// Exchange implements quarantinev1connect.QuarantineServiceHandler.
func (h *handler) Exchange(_ context.Context, request *connect.Request[quarantinev1.ExchangeRequest]) (*connect.Response[quarantinev1.ExchangeResponse], error) {
	now := time.Now()
	h.tracker.Merge(now, FromProto(request.Msg.GetRecords()))
	if !request.Msg.GetAll() {
		return connect.NewResponse(&quarantinev1.ExchangeResponse{}), nil
	}
	records := h.tracker.Records(now)
	if quarantine.Digest(records) == request.Msg.GetDigest() {
		return connect.NewResponse(&quarantinev1.ExchangeResponse{Same: true}), nil
	}
	return connect.NewResponse(&quarantinev1.ExchangeResponse{Records: ToProto(records)}), nil
}
