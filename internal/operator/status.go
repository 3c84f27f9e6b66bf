package operator

import (
	"context"
	"errors"
	"fmt"
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
	self := s.view.Self().Name
	for _, member := range s.view.Members() {
		if member.Name == self {
			member.ConfigRevision = s.current.Revision()
		}
		response.Nodes = append(response.Nodes, &operatorv1.Node{
			Name: member.Name, AvailabilityZone: member.AvailabilityZone, Region: member.Region,
			State: string(member.State), ConfigRevision: member.ConfigRevision, Load: member.Load,
			EntryAddress: member.EntryAddress,
		})
	}
	if s.leases != nil {
		response.Leases = s.leases()
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
	id := request.Msg.GetRequestId()
	if s.explainer == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this node keeps no decisions"))
	}
	decisions, known := s.explainer.Explain(ctx, id)
	if !known {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("field request_id value %q: no node knows this request, or its retention is over", id))
	}
	return connect.NewResponse(&operatorv1.ExplainResponse{Decisions: decisions}), nil
}
