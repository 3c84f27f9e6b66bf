package drainplan

import (
	"context"
	"fmt"
	"strings"
	"time"

	"galenatrestle/internal/drain"
	drainv1 "galenatrestle/internal/gen/trestle/drain/v1"
	"galenatrestle/internal/intent"
	"galenatrestle/internal/membership"
)

// VMKinds are the kinds of step that a VMActor carries out.
var VMKinds = []intent.StepKind{
	intent.StepWithdrawEntry, intent.StepHandOnDuties, intent.StepAwaitKeepTime, intent.StepAwaitVM,
}

// VMActor implements intent.Actor for `drain VM`.
type VMActor struct {
	nodes *drain.Client
}

// NewVMActor returns a VMActor.
func NewVMActor(nodes *drain.Client) *VMActor { return &VMActor{nodes: nodes} }

// Do implements intent.Actor. Each step withdraws the node where it is not: it
// may have started anew.
func (a *VMActor) Do(ctx context.Context, task intent.Task) (intent.Progress, error) {
	name := task.Step.Target
	member, ok := a.nodes.Member(name)
	if !ok {
		return intent.Progress{Wait: fmt.Sprintf(
			"VM %s is no member any more: it crashed or is cut off, and what it has in flight is not known; abandon this plan, and declare it dead if it is off", name)}, nil
	}
	work, err := a.nodes.Work(ctx, member)
	if err != nil {
		return intent.Progress{}, err
	}
	if !work.GetWithdrawn() {
		if err := a.nodes.Withdraw(ctx, member); err != nil {
			return intent.Progress{}, err
		}
		return intent.Progress{Wait: fmt.Sprintf("VM %s leaves the entries", name)}, nil
	}
	wait := waitOfVM(task.Step.Kind, member, work)
	return intent.Progress{Done: wait == "", Wait: wait}, nil
}

// waitOfVM says why a step waits for a node, empty where it does not.
func waitOfVM(step intent.StepKind, member membership.Member, work *drainv1.GetWorkResponse) string {
	switch step {
	case intent.StepWithdrawEntry:
		if member.State != membership.StateLeaving {
			return fmt.Sprintf("the nodes do not know yet that VM %s is leaving", member.Name)
		}
	case intent.StepHandOnDuties:
		if duties := work.GetDuties(); len(duties) > 0 {
			return fmt.Sprintf("VM %s holds %s", member.Name, strings.Join(duties, ", "))
		}
	case intent.StepAwaitKeepTime:
		if keep := work.GetKeepMs(); keep > 0 {
			rest := (time.Duration(keep) * time.Millisecond).Round(time.Second)
			return fmt.Sprintf("callers may hold the address of VM %s for %s", member.Name, rest)
		}
	case intent.StepAwaitVM:
		if n := work.GetInFlight(); n > 0 {
			return fmt.Sprintf("VM %s has %d requests in flight", member.Name, n)
		}
	}
	return ""
}

// Undo implements intent.Actor: the node serves again.
func (a *VMActor) Undo(ctx context.Context, task intent.Task) (intent.Progress, error) {
	member, ok := a.nodes.Member(task.Step.Target)
	if !ok || task.Step.Kind != intent.StepWithdrawEntry {
		return intent.Progress{Done: true}, nil
	}
	err := a.nodes.Restore(ctx, member)
	return intent.Progress{Done: err == nil}, err
}
