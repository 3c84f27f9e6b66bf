package drain

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	drainv1 "galenatrestle/internal/gen/trestle/drain/v1"
	"galenatrestle/internal/gen/trestle/drain/v1/drainv1connect"
)

// service answers the other nodes for a Local.
type service struct {
	local Local
}

// NewHandler returns the path and handler to mount on the peer listener.
func NewHandler(local Local) (string, http.Handler) {
	return drainv1connect.NewDrainServiceHandler(service{local})
}

// GetWork implements the service.
func (s service) GetWork(context.Context, *connect.Request[drainv1.GetWorkRequest]) (*connect.Response[drainv1.GetWorkResponse], error) {
	return connect.NewResponse(s.local.Work()), nil
}

// GetRegionWork implements the service.
func (s service) GetRegionWork(ctx context.Context, _ *connect.Request[drainv1.GetRegionWorkRequest]) (*connect.Response[drainv1.GetRegionWorkResponse], error) {
	return connect.NewResponse(s.local.RegionWork(ctx)), nil
}

// Withdraw implements the service.
func (s service) Withdraw(context.Context, *connect.Request[drainv1.WithdrawRequest]) (*connect.Response[drainv1.WithdrawResponse], error) {
	s.local.Withdraw()
	return connect.NewResponse(&drainv1.WithdrawResponse{}), nil
}

// Restore implements the service.
func (s service) Restore(context.Context, *connect.Request[drainv1.RestoreRequest]) (*connect.Response[drainv1.RestoreResponse], error) {
	s.local.Restore()
	return connect.NewResponse(&drainv1.RestoreResponse{}), nil
}

// GetFree implements the service.
func (s service) GetFree(ctx context.Context, request *connect.Request[drainv1.GetFreeRequest]) (*connect.Response[drainv1.GetFreeResponse], error) {
	slots, err := s.local.Free(ctx, request.Msg.GetUpstreams())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&drainv1.GetFreeResponse{Slots: slots}), nil
}
