package handover

import (
	"context"

	"connectrpc.com/connect"

	handoverv1 "galenatrestle/internal/gen/trestle/handover/v1"
)

// Service answers other data centres; it implements
// handoverv1connect.HandoverServiceHandler.
type Service struct {
	receiver *Receiver
}

// NewService returns a Service.
func NewService(receiver *Receiver) *Service { return &Service{receiver: receiver} }

// Deliver implements the handler.
func (s *Service) Deliver(ctx context.Context, request *connect.Request[handoverv1.Envelope]) (*connect.Response[handoverv1.Receipt], error) {
	receipt, err := s.receiver.Deliver(ctx, fromWire(request.Msg))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&handoverv1.Receipt{
		Accepted: receipt.Accepted, Reason: receipt.Reason, Phase: string(receipt.Phase),
	}), nil
}
