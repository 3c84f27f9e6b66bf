package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"connectrpc.com/connect"

	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
)

// Propose implements the service.
func (s *Service) Propose(ctx context.Context, request *connect.Request[operatorv1.ProposeRequest]) (*connect.Response[operatorv1.ProposeResponse], error) {
	kind := request.Msg.GetKind()
	for _, planner := range s.planners {
		if !slices.Contains(planner.Kinds(), kind) {
			continue
		}
		plan, err := planner.Propose(ctx, authorOf(ctx), request.Msg)
		if err != nil {
			return nil, toConnect(err)
		}
		return connect.NewResponse(&operatorv1.ProposeResponse{Plan: plan}), nil
	}
	return nil, toConnect(fmt.Errorf("field kind value %q: %w; the kinds are %v", kind, ErrUnknownKind, s.kinds()))
}

func (s *Service) kinds() []string {
	var kinds []string
	for _, planner := range s.planners {
		kinds = append(kinds, planner.Kinds()...)
	}
	return kinds
}

// plannerOf returns the planner that keeps the plan.
func (s *Service) plannerOf(ctx context.Context, id string) (Planner, *operatorv1.Plan, error) {
	for _, planner := range s.planners {
		plan, err := planner.Plan(ctx, id)
		if err == nil {
			return planner, plan, nil
		}
		if !errors.Is(err, ErrUnknownPlan) {
			return nil, nil, err
		}
	}
	return nil, nil, fmt.Errorf("field plan_id value %q: %w", id, ErrUnknownPlan)
}

// Confirm implements the service.
func (s *Service) Confirm(ctx context.Context, request *connect.Request[operatorv1.ConfirmRequest]) (*connect.Response[operatorv1.ConfirmResponse], error) {
	planner, _, err := s.plannerOf(ctx, request.Msg.GetPlanId())
	if err != nil {
		return nil, toConnect(err)
	}
	response, err := planner.Confirm(ctx, authorOf(ctx), request.Msg)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(response), nil
}

// Abandon implements the service.
func (s *Service) Abandon(ctx context.Context, request *connect.Request[operatorv1.AbandonRequest]) (*connect.Response[operatorv1.AbandonResponse], error) {
	planner, _, err := s.plannerOf(ctx, request.Msg.GetPlanId())
	if err != nil {
		return nil, toConnect(err)
	}
	plan, err := planner.Abandon(ctx, authorOf(ctx), request.Msg.GetPlanId())
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&operatorv1.AbandonResponse{Plan: plan}), nil
}

// GetPlan implements the service.
func (s *Service) GetPlan(ctx context.Context, request *connect.Request[operatorv1.GetPlanRequest]) (*connect.Response[operatorv1.GetPlanResponse], error) {
	_, plan, err := s.plannerOf(ctx, request.Msg.GetPlanId())
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&operatorv1.GetPlanResponse{Plan: plan}), nil
}

// ListPlans implements the service.
func (s *Service) ListPlans(ctx context.Context, _ *connect.Request[operatorv1.ListPlansRequest]) (*connect.Response[operatorv1.ListPlansResponse], error) {
	response := &operatorv1.ListPlansResponse{}
	for _, planner := range s.planners {
		plans, err := planner.Plans(ctx)
		if err != nil {
			return nil, toConnect(err)
		}
		response.Plans = append(response.Plans, plans...)
	}
	return connect.NewResponse(response), nil
}
