package drainplan

import (
	"context"
	"fmt"

	"galenatrestle/internal/drain"
	drainv1 "galenatrestle/internal/gen/trestle/drain/v1"
	"galenatrestle/internal/intent"
)

// ReplicaKinds are the kinds of step that a ReplicaActor carries out.
var ReplicaKinds = []intent.StepKind{intent.StepMarkLeaving, intent.StepAwaitReplica}

// Marker marks replicas in the configuration.
type Marker interface {
	// MarkLeaving returns once the newest configuration says whether the
	// replica is leaving. It is idempotent. It returns an *intent.FatalError
	// for a replica that is not configured.
	MarkLeaving(ctx context.Context, upstream, replica string, leaving bool, author string) error
}

// ReplicaActor implements intent.Actor for `drain replica`.
type ReplicaActor struct {
	nodes  *drain.Client
	marker Marker
}

// NewReplicaActor returns a ReplicaActor.
func NewReplicaActor(nodes *drain.Client, marker Marker) *ReplicaActor {
	return &ReplicaActor{nodes: nodes, marker: marker}
}

// Do implements intent.Actor.
func (a *ReplicaActor) Do(ctx context.Context, task intent.Task) (intent.Progress, error) {
	in := task.Plan.Intent
	if task.Step.Kind == intent.StepMarkLeaving {
		err := a.marker.MarkLeaving(ctx, in.Upstream, in.Replica, true, task.Plan.Operator)
		return intent.Progress{Done: err == nil}, err
	}
	for _, answer := range a.nodes.Everywhere(ctx) {
		if answer.Err != nil {
			return intent.Progress{}, answer.Err
		}
		if wait := waitOf(answer.Work, in); wait != "" {
			return intent.Progress{Wait: wait}, nil
		}
	}
	return intent.Progress{Done: true}, nil
}

// waitOf says why the drain waits for a node, empty where it does not.
func waitOf(work *drainv1.GetWorkResponse, in intent.Intent) string {
	for _, r := range work.GetReplicas() {
		if r.GetUpstream() != in.Upstream || r.GetReplica() != in.Replica {
			continue
		}
		if !r.GetLeaving() {
			return fmt.Sprintf("node %s does not know yet that replica %s is leaving", work.GetNode(), in.Replica)
		}
		if r.GetRunning() > 0 {
			return fmt.Sprintf("node %s has %d requests in flight on replica %s", work.GetNode(), r.GetRunning(), in.Replica)
		}
		return ""
	}
	return fmt.Sprintf("node %s has no replica %s in force", work.GetNode(), in.Replica)
}

// Undo implements intent.Actor: the replica serves again.
func (a *ReplicaActor) Undo(ctx context.Context, task intent.Task) (intent.Progress, error) {
	if task.Step.Kind != intent.StepMarkLeaving {
		return intent.Progress{Done: true}, nil
	}
	in := task.Plan.Intent
	err := a.marker.MarkLeaving(ctx, in.Upstream, in.Replica, false, task.Plan.Operator)
	return intent.Progress{Done: err == nil}, err
}
