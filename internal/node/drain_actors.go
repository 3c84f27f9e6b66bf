package node

import (
	"galenatrestle/internal/drain/drainplan"
	"galenatrestle/internal/intent"
)

// drainActors carry out the steps of drains.
func (n *Node) drainActors() map[intent.StepKind]intent.Actor {
	actors := make(map[intent.StepKind]intent.Actor)
	replica := drainplan.NewReplicaActor(n.drains.client, marker{n})
	for _, kind := range drainplan.ReplicaKinds {
		actors[kind] = replica
	}
	vm := drainplan.NewVMActor(n.drains.client)
	for _, kind := range drainplan.VMKinds {
		actors[kind] = vm
	}
	return actors
}
