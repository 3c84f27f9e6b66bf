package quarantinerpc

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/crashcause/crashcauserpc"
	quarantinev1 "galenatrestle/internal/gen/trestle/quarantine/v1"
	"galenatrestle/internal/gen/trestle/quarantine/v1/quarantinev1connect"
	"galenatrestle/internal/quarantine"
)

// handler merges records that peers send.
type handler struct {
	tracker *quarantine.Tracker
	causes  *crashcause.Tracker
}

// NewHandler returns the path and the handler to mount on the peer listener.
func NewHandler(tracker *quarantine.Tracker, causes *crashcause.Tracker, options ...connect.HandlerOption) (string, http.Handler) {
	return quarantinev1connect.NewQuarantineServiceHandler(&handler{tracker: tracker, causes: causes}, options...)
}

// Exchange implements quarantinev1connect.QuarantineServiceHandler.
func (h *handler) Exchange(_ context.Context, request *connect.Request[quarantinev1.ExchangeRequest]) (*connect.Response[quarantinev1.ExchangeResponse], error) {
	now := time.Now()
	h.tracker.Merge(now, FromProto(request.Msg.GetRecords()))
	h.causes.Merge(now, crashcauserpc.FromProto(request.Msg.GetCrashCauses()))
	response := &quarantinev1.ExchangeResponse{CrashCauses: crashcauserpc.ToProto(h.causes.Shared(now, request.Msg.GetCrashCausesDigest()))}
	if !request.Msg.GetAll() {
		return connect.NewResponse(response), nil
	}
	records := h.tracker.Records(now)
	response.Same = quarantine.Digest(records) == request.Msg.GetDigest()
	if !response.Same {
		response.Records = ToProto(records)
	}
	return connect.NewResponse(response), nil
}
