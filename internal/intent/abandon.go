package intent

import (
	"context"

	"galenatrestle/internal/platform/readback"
)

// abandonTries bounds the rounds against an executor that records progress at
// the same time.
const abandonTries = 8

// Abandon stops a plan as far as that is safe: a proposed plan at once, a
// running one by undoing its steps in reverse order. It returns a *StateError
// once a step without return has started.
func (s *Store) Abandon(ctx context.Context, id string) (*Plan, error) {
	var err error
	for range abandonTries {
		var plan *Plan
		plan, err = s.Plan(ctx, id)
		if err != nil {
			return nil, err
		}
		if plan.State == StateAbandoned || plan.State == StateAbandoning {
			return plan, nil
		}
		if err := abandonable(plan); err != nil {
			return nil, err
		}
		plan, err = s.abandon(ctx, plan)
		if !readback.IsConflict(err) {
			return plan, err
		}
	}
	return nil, err
}

func (s *Store) abandon(ctx context.Context, plan *Plan) (*Plan, error) {
	next := plan.clone()
	next.State = StateAbandoning
	if plan.State == StateProposed {
		next.State = StateAbandoned
	}
	return s.writePlan(ctx, next)
}

func abandonable(plan *Plan) error {
	if plan.State.Final() {
		return &StateError{PlanID: plan.ID, State: plan.State, Message: "nothing is left to abandon"}
	}
	if plan.PastReturn() {
		return &StateError{PlanID: plan.ID, State: plan.State, Message: "a step without return has started: it only goes forward; undo it by a new intent"}
	}
	return nil
}
