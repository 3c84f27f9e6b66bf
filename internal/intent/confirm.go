package intent

import (
	"context"

	"galenatrestle/internal/platform/readback"
)

// Confirm starts a proposed plan. It returns nil only once the write that
// starts the plan is known to have taken effect; confirming a plan that runs or
// is done already is accepted again. It returns a *StaleError where the base
// moved, a *RiskError where a risk needs accepting, and a *StateError for an
// abandoned or failed plan.
func (s *Store) Confirm(ctx context.Context, id, operator string, acceptRisk bool) (*Plan, error) {
	plan, err := s.Plan(ctx, id)
	if err != nil {
		return nil, err
	}
	h, headRevision, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if plan.State != StateProposed || h.has(id) {
		return s.confirmed(ctx, id)
	}
	if plan.NeedsAcceptRisk && !acceptRisk {
		return nil, &RiskError{PlanID: id, Risks: plan.Risks}
	}
	if err := s.checkBase(ctx, plan, h, headRevision); err != nil {
		return nil, err
	}
	if len(h.Active) >= MaxActive {
		return nil, ErrTooManyActive
	}
	err = s.writeHead(ctx, h.with(plan, operator, s.now()), plan.Base.Head)
	if readback.IsConflict(err) {
		return s.lostRace(ctx, plan)
	}
	if err != nil {
		return nil, err
	}
	return s.confirmed(ctx, id)
}

// checkBase returns a *StaleError where the plan's base has moved.
func (s *Store) checkBase(ctx context.Context, plan *Plan, h *head, headRevision int64) error {
	revision, operator, change, err := s.bases.ConfigRevision(ctx)
	if err != nil {
		return err
	}
	stale := &StaleError{PlanID: plan.ID, Base: plan.Base, Now: Base{Config: revision, Head: headRevision}}
	if revision != plan.Base.Config {
		stale.Operator, stale.Change = operator, change
		return stale
	}
	if headRevision != plan.Base.Head {
		stale.Operator, stale.Change = h.Last.Operator, h.Last.Summary
		return stale
	}
	return nil
}

// lostRace finds out what became of a confirmation whose write found another
// head: an earlier try of the same one may have won.
func (s *Store) lostRace(ctx context.Context, plan *Plan) (*Plan, error) {
	// The head is read before the plan: an executor makes a plan final before
	// it takes it from the head.
	h, headRevision, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	now, err := s.Plan(ctx, plan.ID)
	if err != nil {
		return nil, err
	}
	if h.has(plan.ID) || now.State != StateProposed {
		return s.confirmed(ctx, plan.ID)
	}
	return nil, s.checkBase(ctx, plan, h, headRevision)
}

// confirmed returns a plan that the head has, or had.
func (s *Store) confirmed(ctx context.Context, id string) (*Plan, error) {
	plan, err := s.Plan(ctx, id)
	if err != nil {
		return nil, err
	}
	switch plan.State {
	case StateAbandoning, StateAbandoned, StateFailed:
		return nil, &StateError{PlanID: id, State: plan.State, Message: "it can't be confirmed"}
	}
	return plan, nil
}
