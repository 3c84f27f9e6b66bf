package operator

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
)

// platformProbeTime bounds the read that tells whether the platform answers.
const platformProbeTime = time.Second

// platformUp is what status says of a platform that answers.
const platformUp = "up"

// GetStatus implements the service.
func (s *Service) GetStatus(ctx context.Context, request *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	revision := request.Msg.GetConfigRevision()
	if revision == 0 {
		revision = s.current.Revision()
	}
	inForce, _ := s.sync.InForce(revision)
	response := &operatorv1.GetStatusResponse{
		ConfigRevision: revision, InForceOn: int32(inForce), Platform: s.probe(ctx),
	}
	s.tellNodes(ctx, response)
	if s.absent != nil && response.Platform == platformUp {
		absent, err := s.absent(ctx)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		response.Absent = absent
	}
	return connect.NewResponse(response), nil
}

func (s *Service) probe(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, platformProbeTime)
	defer cancel()
	if _, _, err := s.repository.Head(ctx); err != nil {
		return err.Error()
	}
	return platformUp
}

// ListEntries implements the service.
func (s *Service) ListEntries(_ context.Context, request *connect.Request[operatorv1.ListEntriesRequest]) (*connect.Response[operatorv1.ListEntriesResponse], error) {
	response := &operatorv1.ListEntriesResponse{}
	if s.entries != nil {
		response.Entries, response.TtlSeconds = s.entries(request.Msg.GetAvailabilityZone())
	}
	return connect.NewResponse(response), nil
}

// Explain implements the service.
func (s *Service) Explain(ctx context.Context, request *connect.Request[operatorv1.ExplainRequest]) (*connect.Response[operatorv1.ExplainResponse], error) {
	if s.inspector == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this node keeps no decisions"))
	}
	decisions, err := s.inspector.Explain(ctx, request.Msg.GetRequestId())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.ExplainResponse{Decisions: decisions}), nil
}
