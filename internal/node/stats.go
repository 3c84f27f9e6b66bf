package node

import (
	"cmp"
	"context"
	"math/rand/v2"

	drainv1 "galenatrestle/internal/gen/trestle/drain/v1"
	"galenatrestle/internal/intent"
)

// stats asks all nodes for their work, and for a move the other data centre for
// what it has free.
func (n *Node) stats(ctx context.Context, wanted intent.Intent) intent.Stats {
	stats := intent.Stats{
		VMs:      make(map[string]intent.VMStats),
		Replicas: make(map[string]map[string]int),
		Demand:   make(map[string]map[string]float64),
	}
	region := n.options.Region
	for _, answer := range n.drains.client.Everywhere(ctx) {
		vm := intent.VMStats{Load: answer.Member.Load}
		if answer.Err != nil {
			stats.Silent = append(stats.Silent, cmp.Or(answer.Member.Name, "region "+answer.Member.Region))
		} else {
			vm.InFlight = int(answer.Work.GetInFlight())
			addWork(&stats, answer.Work)
		}
		if answer.Member.Region == region {
			// A VM is drained by the nodes of its own region.
			stats.VMs[answer.Member.Name] = vm
		}
	}
	stats.Target.Slots = n.targetSlots(ctx, wanted)
	return stats
}

func addWork(stats *intent.Stats, work *drainv1.GetWorkResponse) {
	for _, r := range work.GetReplicas() {
		if stats.Replicas[r.GetUpstream()] == nil {
			stats.Replicas[r.GetUpstream()] = make(map[string]int)
		}
		stats.Replicas[r.GetUpstream()][r.GetReplica()] += int(r.GetRunning())
	}
	for _, c := range work.GetClasses() {
		if stats.Demand[c.GetUpstream()] == nil {
			stats.Demand[c.GetUpstream()] = make(map[string]float64)
		}
		stats.Demand[c.GetUpstream()][c.GetClass()] += float64(c.GetRunning() + c.GetWaiting())
	}
}

// targetSlots is zero where no node of the other data centre says more.
func (n *Node) targetSlots(ctx context.Context, wanted intent.Intent) float64 {
	index := n.config.Load()
	addresses := n.options.Counterparts[wanted.DataCentre]
	if index == nil || len(addresses) == 0 {
		return 0
	}
	upstreams := wanted.Upstreams(index.Document())
	for _, i := range rand.Perm(len(addresses)) {
		if slots, err := n.drains.client.Free(ctx, addresses[i], upstreams); err == nil {
			return slots
		}
	}
	return 0
}
