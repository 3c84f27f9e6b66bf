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

// withPlanner gives the call to each planner until one keeps the plan.
func (s *Service) withPlanner(id string, call func(Planner) error) error {
	for _, planner := range s.planners {
		if err := call(planner); !errors.Is(err, ErrUnknownPlan) {
			return toConnect(err)
		}
	}
	return toConnect(fmt.Errorf("field plan_id value %q: %w", id, ErrUnknownPlan))
}

// Confirm implements the service.
func (s *Service) Confirm(ctx context.Context, request *connect.Request[operatorv1.ConfirmRequest]) (*connect.Response[operatorv1.ConfirmResponse], error) {
	var response *operatorv1.ConfirmResponse
	err := s.withPlanner(request.Msg.GetPlanId(), func(planner Planner) (err error) {
		response, err = planner.Confirm(ctx, authorOf(ctx), request.Msg)
		return err
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// Abandon implements the service.
func (s *Service) Abandon(ctx context.Context, request *connect.Request[operatorv1.AbandonRequest]) (*connect.Response[operatorv1.AbandonResponse], error) {
	var plan *operatorv1.Plan
	id := request.Msg.GetPlanId()
	err := s.withPlanner(id, func(planner Planner) (err error) {
		plan, err = planner.Abandon(ctx, authorOf(ctx), id)
		return err
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.AbandonResponse{Plan: plan}), nil
}

// GetPlan implements the service.
func (s *Service) GetPlan(ctx context.Context, request *connect.Request[operatorv1.GetPlanRequest]) (*connect.Response[operatorv1.GetPlanResponse], error) {
	var plan *operatorv1.Plan
	id := request.Msg.GetPlanId()
	err := s.withPlanner(id, func(planner Planner) (err error) {
		plan, err = planner.Plan(ctx, id)
		return err
	})
	if err != nil {
		return nil, err
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
