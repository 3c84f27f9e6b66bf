package moveplan

import (
	"context"

	"galenatrestle/internal/handover"
	"galenatrestle/internal/intent"
)

// DeadActor implements intent.Actor for the step that takes an operator's word
// that a VM is dead: neither present nor later moves wait for it.
type DeadActor struct {
	store *handover.MoveStore
}

// NewDeadActor returns a DeadActor.
func NewDeadActor(store *handover.MoveStore) *DeadActor { return &DeadActor{store: store} }

// Do implements intent.Actor.
func (a *DeadActor) Do(ctx context.Context, task intent.Task) (intent.Progress, error) {
	node := task.Step.Target
	if err := a.store.Deregister(ctx, node); err != nil {
		return intent.Progress{}, err
	}
	moves, _, err := a.store.Moves(ctx)
	if err != nil {
		return intent.Progress{}, err
	}
	for _, m := range moves {
		if m.Role != handover.RoleSource || m.Phase.Final() {
			continue
		}
		if _, err := a.store.DeclareDead(ctx, m.ID, node); err != nil {
			return intent.Progress{}, err
		}
	}
	return intent.Progress{Done: true}, nil
}

// Undo implements intent.Actor; the step has no return.
func (a *DeadActor) Undo(context.Context, intent.Task) (intent.Progress, error) {
	return intent.Progress{Done: true}, nil
}
