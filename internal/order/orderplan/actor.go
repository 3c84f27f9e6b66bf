package orderplan

import (
	"context"
	"errors"
	"fmt"

	"galenatrestle/internal/config"
	"galenatrestle/internal/intent"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/order"
)

// Kinds are the step kinds that Actor carries out.
var Kinds = []intent.StepKind{intent.StepOrderLoad, intent.StepOrderUnload, intent.StepOrderRole}

// Actor implements intent.Actor for orders to engines.
type Actor struct {
	sender *order.Sender
	// configuration returns the current configuration, or nil before the first one.
	configuration func() *config.Index
}

// NewActor returns an Actor.
func NewActor(sender *order.Sender, configuration func() *config.Index) *Actor {
	return &Actor{sender: sender, configuration: configuration}
}

// Do implements intent.Actor.
func (a *Actor) Do(ctx context.Context, task intent.Task) (intent.Progress, error) {
	target, err := a.target(task)
	if err != nil {
		return intent.Progress{}, err
	}
	done, err := a.sender.Reconcile(ctx, target, orderFor(task))
	var hold *order.HoldError
	if errors.As(err, &hold) {
		return intent.Progress{Wait: string(hold.Reason)}, nil
	}
	if err != nil || done {
		return intent.Progress{Done: done}, err
	}
	return intent.Progress{Wait: "the engine does not report the state yet"}, nil
}

// Undo implements intent.Actor. The engine's previous state is not known, so nothing is
// reverted; the operator has to submit another intent.
func (a *Actor) Undo(context.Context, intent.Task) (intent.Progress, error) {
	return intent.Progress{Done: true}, nil
}

func (a *Actor) target(task intent.Task) (order.Target, error) {
	index := a.configuration()
	if index == nil {
		return order.Target{}, errors.New("order: no configuration is in force yet")
	}
	name := task.Plan.Intent.Upstream
	upstream, ok := index.Upstream(name)
	if ok {
		for _, r := range upstream.Replicas {
			if r.Name == task.Step.Target {
				return order.Target{Name: r.Name, Address: r.Address, HonoursFencing: upstream.HonoursFencing}, nil
			}
		}
	}
	return order.Target{}, &intent.FatalError{Reason: fmt.Sprintf("replica %s of upstream %s is not configured any more", task.Step.Target, name)}
}

func orderFor(task intent.Task) openai.Order {
	in := task.Plan.Intent
	switch task.Step.Kind {
	case intent.StepOrderRole:
		return openai.Order{Kind: openai.OrderRole, Role: in.Role}
	case intent.StepOrderUnload:
		return openai.Order{Kind: openai.OrderUnload, Model: in.Model, Version: in.Version}
	}
	return openai.Order{Kind: openai.OrderLoad, Model: in.Model, Version: in.Version}
}
