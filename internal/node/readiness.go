package node

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"galenatrestle/internal/config"
	"galenatrestle/internal/handover"
	"galenatrestle/internal/intent"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/order"
)

// readiness makes this data centre able to take a set: its upstreams are
// configured with replicas, which have the models, and have slots free for the
// load that the source told. It implements handover.Preparer.
type readiness struct {
	configuration func() *config.Index
	work          *drains
	sender        *order.Sender
}

// Prepare implements handover.Preparer. What can't be mended from here is
// checked before any model is loaded.
func (r readiness) Prepare(ctx context.Context, m handover.Move) (bool, error) {
	index := r.configuration()
	if index == nil {
		return false, nil
	}
	if err := movable(r.configuration)(m.Set); err != nil {
		return false, &handover.UnableError{Reason: err.Error()}
	}
	upstreams, err := takenOver(index, m.Set)
	if err != nil {
		return false, err
	}
	for _, u := range upstreams {
		if err := r.checkFree(ctx, u, m.Load[u.Name]); err != nil {
			return false, err
		}
	}
	for _, u := range upstreams {
		ready, err := r.loaded(ctx, u)
		if err != nil || !ready {
			return false, err
		}
	}
	return true, nil
}

// takenOver returns the upstreams that the set may use here.
func takenOver(index *config.Index, set handover.Set) ([]*config.Upstream, error) {
	names := slices.Clone(set.Upstreams)
	for _, name := range set.Workspaces {
		w, ok := index.Workspace(name)
		if !ok {
			return nil, &handover.UnableError{Reason: "workspace " + name + " is not configured here"}
		}
		names = append(names, w.Upstreams...)
	}
	var list []*config.Upstream
	for _, name := range names {
		u, ok := index.Upstream(name)
		if !ok || serving(u) == 0 {
			return nil, &handover.UnableError{Reason: "upstream " + name + " has no replica here"}
		}
		list = append(list, u)
	}
	return list, nil
}

// checkFree returns an *handover.UnableError where the upstream has no room for
// the load, in requests at a time.
func (r readiness) checkFree(ctx context.Context, u *config.Upstream, load int32) error {
	if load == 0 {
		return nil
	}
	free, err := r.work.Free(ctx, []string{u.Name})
	if err != nil || free >= float64(load) {
		return err
	}
	return &handover.UnableError{Reason: fmt.Sprintf(
		"upstream %s has %.0f slots free here, and %d requests are in flight on it at the source", u.Name, free, load)}
}

// loaded has each replica load the upstream's models; false while one has not.
// An engine that takes no orders is taken by the configuration's word.
func (r readiness) loaded(ctx context.Context, u *config.Upstream) (bool, error) {
	if u.Kind != config.KindEngine {
		return true, nil
	}
	for _, replica := range u.Replicas {
		if replica.Leaving {
			continue
		}
		target := order.Target{Name: replica.Name, Address: replica.Address, HonoursFencing: u.HonoursFencing}
		for _, model := range modelsOf(u) {
			done, err := r.sender.Reconcile(ctx, target, openai.Order{Kind: openai.OrderLoad, Model: model})
			var hold *order.HoldError
			switch {
			case errors.Is(err, order.ErrNoOrders):
			case errors.As(err, &hold):
				return false, nil
			case err != nil || !done:
				return false, err
			}
		}
	}
	return true, nil
}

func modelsOf(u *config.Upstream) []string {
	model := u.Model
	if model == "" {
		model = u.Name
	}
	return append([]string{model}, u.Adapters...)
}

// Release implements handover.Preparer. Models stay loaded: the upstream is
// configured with them.
func (readiness) Release(context.Context, handover.Set) error { return nil }

// load counts the requests in flight at all nodes on the upstreams that a move
// takes over, each at most up to its stated slots: nodes that do not share the
// slots give replicas more, which wait there.
func (d *drains) load(ctx context.Context, wanted intent.Intent) (map[string]int32, error) {
	index := d.node.config.Load()
	if index == nil {
		return nil, errNoConfiguration
	}
	load := make(map[string]int32)
	for _, name := range wanted.Upstreams(index.Document()) {
		load[name] = 0
	}
	for _, answer := range d.client.Everywhere(ctx) {
		if answer.Err != nil {
			return nil, answer.Err
		}
		for _, r := range answer.Work.GetReplicas() {
			if _, taken := load[r.GetUpstream()]; taken {
				load[r.GetUpstream()] += r.GetRunning()
			}
		}
	}
	for name, running := range load {
		u, _ := index.Upstream(name)
		load[name] = min(running, int32(intent.Slots(*u)))
	}
	return load, nil
}
