package intent

import (
	"context"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/platform/readback"
)

// Executor carries out confirmed plans. One process at a time runs it, under a
// lease whose epoch it passes; two at once do no harm, since each record of
// progress is conditional on the plan's key, which carries the epoch.
type Executor struct {
	store   *Store
	actors  map[StepKind]Actor
	metrics *Metrics
	log     logrus.FieldLogger
}

// NewExecutor returns an Executor with an actor for each kind of step.
func NewExecutor(store *Store, actors map[StepKind]Actor, metrics *Metrics, log logrus.FieldLogger) *Executor {
	return &Executor{store: store, actors: actors, metrics: metrics, log: log}
}

// Pass brings each confirmed plan as far as it goes now and returns the number
// of plans that still wait. It returns ErrSuperseded where a plan has a higher
// epoch: the caller has lost the duty.
func (e *Executor) Pass(ctx context.Context, epoch int64) (int, error) {
	ids, err := e.store.Active(ctx)
	if err != nil {
		return 0, err
	}
	waiting := 0
	for _, id := range ids {
		final, err := e.advance(ctx, id, epoch)
		if errors.Is(err, ErrSuperseded) {
			e.metrics.superseded.Inc()
			return waiting, err
		}
		if err != nil {
			e.log.WithError(err).WithField("plan", id).Warn("plan stands still")
		}
		if !final {
			waiting++
		}
	}
	return waiting, ctx.Err()
}

// advance works on one plan until it is final or waits.
func (e *Executor) advance(ctx context.Context, id string, epoch int64) (bool, error) {
	for ctx.Err() == nil {
		plan, err := e.store.Plan(ctx, id)
		if err != nil {
			return false, err
		}
		if plan.Epoch > epoch {
			return false, fmt.Errorf("plan %s at epoch %d, not %d: %w", id, plan.Epoch, epoch, ErrSuperseded)
		}
		if plan.State.Final() {
			return true, e.store.retire(ctx, plan)
		}
		more, err := e.turn(ctx, plan, epoch)
		if readback.IsConflict(err) {
			// An operator or another executor wrote: look again.
			e.metrics.conflicts.Inc()
			continue
		}
		if err != nil || !more {
			return false, err
		}
	}
	return false, ctx.Err()
}

// turn makes one change to the plan; it returns false where the plan waits.
func (e *Executor) turn(ctx context.Context, plan *Plan, epoch int64) (bool, error) {
	if plan.Epoch < epoch || plan.State == StateProposed {
		return true, e.takeOver(ctx, plan, epoch)
	}
	if plan.State == StateAbandoning {
		return e.undo(ctx, plan, epoch)
	}
	step := plan.Current()
	if step == nil {
		return true, e.finish(ctx, plan, StateDone)
	}
	if step.State == StepPending {
		return true, e.start(ctx, plan, step.Number)
	}
	return e.do(ctx, plan, *step, epoch)
}

// takeOver stamps the plan with this executor's epoch, so that a write of an
// older one conflicts.
func (e *Executor) takeOver(ctx context.Context, plan *Plan, epoch int64) error {
	next := plan.clone()
	next.Epoch = epoch
	if plan.State == StateProposed {
		next.State = StateRunning
	}
	_, err := e.store.writePlan(ctx, next)
	return err
}

// start records that a step runs, before anything of it is done.
func (e *Executor) start(ctx context.Context, plan *Plan, number int) error {
	next := plan.clone()
	step := &next.Steps[number-1]
	step.State = StepRunning
	step.Started = e.store.now()
	_, err := e.store.writePlan(ctx, next)
	return err
}

func (e *Executor) do(ctx context.Context, plan *Plan, step Step, epoch int64) (bool, error) {
	actor, ok := e.actors[step.Kind]
	if !ok {
		return false, e.recordWait(ctx, plan, step.Number, fmt.Sprintf("no actor for step kind %q", step.Kind))
	}
	progress, err := actor.Do(ctx, Task{Plan: plan, Step: step, Epoch: epoch})
	var fatal *FatalError
	if errors.As(err, &fatal) {
		return true, e.fail(ctx, plan, fatal.Reason)
	}
	if err != nil {
		e.metrics.retries.WithLabelValues(string(step.Kind)).Inc()
		return false, e.recordWait(ctx, plan, step.Number, err.Error())
	}
	if !progress.Done {
		return false, e.recordWait(ctx, plan, step.Number, progress.Wait)
	}
	return true, e.recordDone(ctx, plan, step.Number, StepDone)
}

func (e *Executor) undo(ctx context.Context, plan *Plan, epoch int64) (bool, error) {
	step := plan.LastStarted()
	if step == nil {
		return true, e.finish(ctx, plan, endOfUndo(plan))
	}
	actor, ok := e.actors[step.Kind]
	if !ok {
		return false, e.recordWait(ctx, plan, step.Number, fmt.Sprintf("no actor for step kind %q", step.Kind))
	}
	progress, err := actor.Undo(ctx, Task{Plan: plan, Step: *step, Epoch: epoch})
	if err != nil {
		e.metrics.retries.WithLabelValues(string(step.Kind)).Inc()
		return false, e.recordWait(ctx, plan, step.Number, "undo: "+err.Error())
	}
	if !progress.Done {
		return false, e.recordWait(ctx, plan, step.Number, "undo: "+progress.Wait)
	}
	return true, e.recordDone(ctx, plan, step.Number, StepUndone)
}

func endOfUndo(plan *Plan) State {
	if plan.Failure != "" {
		return StateFailed
	}
	return StateAbandoned
}
