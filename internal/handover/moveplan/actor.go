package moveplan

import (
	"context"
	"errors"
	"time"

	"galenatrestle/internal/handover"
	"galenatrestle/internal/intent"
)

// abandonReason is what the target is told when the operator abandons.
const abandonReason = "abandoned by the operator"

// Kinds are the kinds of step that the Actor carries out.
var Kinds = []intent.StepKind{
	intent.StepOfferMove, intent.StepAwaitReady, intent.StepArmNodes, intent.StepSeal,
	intent.StepTransfer, intent.StepOpen, intent.StepSettle,
}

// Load counts the requests in flight by upstream of what a move may take over.
type Load func(ctx context.Context, wanted intent.Intent) (map[string]int32, error)

// Actor implements intent.Actor for moves.
type Actor struct {
	store  *handover.MoveStore
	driver *handover.Driver
	// movable returns why a set can't be moved, or nil.
	movable func(set handover.Set) error
	load    Load
	now     func() time.Time
}

// NewActor returns an Actor beside the driver of this process.
func NewActor(store *handover.MoveStore, driver *handover.Driver, movable func(handover.Set) error, load Load, now func() time.Time) *Actor {
	return &Actor{store: store, driver: driver, movable: movable, load: load, now: now}
}

// Do implements intent.Actor.
func (a *Actor) Do(ctx context.Context, task intent.Task) (intent.Progress, error) {
	move, err := a.move(ctx, task)
	if err != nil {
		return intent.Progress{}, err
	}
	if move.Phase == handover.PhaseAbandoned {
		return intent.Progress{}, &intent.FatalError{Reason: move.Reason}
	}
	if task.Step.Kind == intent.StepSeal && !move.SealAllowed {
		if move, err = a.store.AllowSeal(ctx, move.ID); err != nil {
			return intent.Progress{}, err
		}
	}
	if a.reached(task.Step.Kind, move) {
		return intent.Progress{Done: true}, nil
	}
	return intent.Progress{Wait: a.driver.Waiting(move.ID)}, nil
}

// Undo implements intent.Actor: the move is abandoned as a whole.
func (a *Actor) Undo(ctx context.Context, task intent.Task) (intent.Progress, error) {
	_, err := a.store.Abandon(ctx, task.Plan.ID, abandonReason, a.now())
	if errors.Is(err, handover.ErrUnknownMove) {
		err = nil
	}
	return intent.Progress{Done: err == nil}, err
}

// move returns the plan's move, begun if need be.
func (a *Actor) move(ctx context.Context, task intent.Task) (handover.Move, error) {
	in := task.Plan.Intent
	set := handover.Set{Workspaces: in.Workspaces}
	if in.Kind == intent.KindMoveUpstream {
		set = handover.Set{Upstreams: []string{in.Upstream}}
	}
	if err := a.movable(set); err != nil && task.Step.Kind == intent.StepOfferMove {
		return handover.Move{}, &intent.FatalError{Reason: err.Error()}
	}
	var load map[string]int32
	if task.Step.Kind == intent.StepOfferMove {
		var err error
		if load, err = a.load(ctx, in); err != nil {
			return handover.Move{}, err
		}
	}
	move, err := a.store.BeginWith(ctx, task.Plan.ID, set, load, in.DataCentre, a.now())
	var overlap *handover.OverlapError
	if errors.As(err, &overlap) {
		return move, &intent.FatalError{Reason: overlap.Error()}
	}
	return move, err
}

// reached says whether the move is past the step.
func (a *Actor) reached(step intent.StepKind, move handover.Move) bool {
	opened := move.Phase == handover.PhaseOpened || move.Phase == handover.PhaseDone
	sealed := opened || move.Phase == handover.PhaseSealed
	switch step {
	case intent.StepOfferMove:
		return true
	case intent.StepAwaitReady:
		return sealed || move.Phase == handover.PhaseArming
	case intent.StepArmNodes:
		return sealed || a.driver.Armed(move.ID)
	case intent.StepSeal:
		return sealed
	case intent.StepTransfer:
		return opened || a.driver.Transferred(move.ID)
	case intent.StepOpen:
		return opened
	case intent.StepSettle:
		return move.Phase == handover.PhaseDone
	}
	return false
}
