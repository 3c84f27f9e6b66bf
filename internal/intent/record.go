package intent

import (
	"context"

	"galenatrestle/internal/platform/readback"
)

// recordWait records why a step waits, if that has changed.
func (e *Executor) recordWait(ctx context.Context, plan *Plan, number int, wait string) error {
	if plan.Steps[number-1].Wait == wait {
		return nil
	}
	next := plan.clone()
	next.Steps[number-1].Wait = wait
	_, err := e.store.writePlan(ctx, next)
	return err
}

func (e *Executor) recordDone(ctx context.Context, plan *Plan, number int, state StepState) error {
	next := plan.clone()
	step := &next.Steps[number-1]
	step.State = state
	step.Wait = ""
	step.Finished = e.store.now()
	_, err := e.store.writePlan(ctx, next)
	if err == nil {
		e.metrics.steps.WithLabelValues(string(step.Kind), string(state)).Inc()
	}
	return err
}

// fail turns the plan to undoing what it did.
func (e *Executor) fail(ctx context.Context, plan *Plan, reason string) error {
	next := plan.clone()
	next.State = StateAbandoning
	next.Failure = reason
	_, err := e.store.writePlan(ctx, next)
	return err
}

func (e *Executor) finish(ctx context.Context, plan *Plan, state State) error {
	next := plan.clone()
	next.State = state
	_, err := e.store.writePlan(ctx, next)
	if err == nil {
		e.metrics.plans.WithLabelValues(string(plan.Intent.Kind), string(state)).Inc()
	}
	return err
}

// retire takes a final plan from the head.
func (e *Executor) retire(ctx context.Context, plan *Plan) (bool, error) {
	for {
		h, revision, err := e.store.readHead(ctx)
		if err != nil {
			return true, err
		}
		if !h.has(plan.ID) {
			return true, nil
		}
		err = e.store.writeHead(ctx, h.without(plan, e.store.now()), revision)
		if !readback.IsConflict(err) {
			return true, err
		}
	}
}
