package intent

import "context"

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
