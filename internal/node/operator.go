package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"galenatrestle/internal/gateway"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/intent"
	"galenatrestle/internal/operator"
)

// mountOperator adds the operators' service to the ops address of a node that
// has a platform.
func (n *Node) mountOperator(mux *http.ServeMux) {
	if n.sync == nil {
		return
	}
	plans := intent.NewStore(n.options.Store, n.sync.syncer, uuid.NewString, time.Now)
	mux.Handle(operator.NewHandler(operator.Options{
		Sync:       n.sync.syncer,
		Current:    n.sync.current,
		Repository: n.sync.repository,
		View:       n.members.runner,
		Planners:   []operator.Planner{operator.NewIntentPlanner(plans, n.sync.current, n.stats)},
		Entries:    n.operatorEntries,
		Inspector:  n.inspector,
		Absent:     n.absent,
		Operators:  n.options.Operators,
		Log:        n.options.Log,
		Registry:   n.options.Registry,
	}))
}

// operatorEntries lists the entry addresses as callers of the zone are told them.
func (n *Node) operatorEntries(zone string) ([]*operatorv1.Entry, int32) {
	if zone == "" {
		zone = n.options.AvailabilityZone
	}
	var entries []*operatorv1.Entry
	for _, entry := range gateway.ListEntries(n.members.runner, zone).Entries {
		entries = append(entries, &operatorv1.Entry{
			Address: entry.Address, AvailabilityZone: entry.AvailabilityZone, State: entry.State,
		})
	}
	return entries, gateway.EntryTTLSeconds
}

// absent returns the registered VMs that are no members here.
func (n *Node) absent(ctx context.Context) ([]string, error) {
	if n.moves == nil || n.moves.store == nil || len(n.members.runner.View().Regions()) > 0 {
		// The VMs of other regions are registered too, and not known by name.
		return nil, nil
	}
	registered, err := n.moves.store.Nodes(ctx)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(registered, func(name string) bool {
		_, member := n.drains.client.Member(name)
		return member
	}), nil
}
