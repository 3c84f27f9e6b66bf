package node

import "galenatrestle/internal/intent"

// drainActors carry out the steps of drains; there are none yet.
func (n *Node) drainActors() map[intent.StepKind]intent.Actor {
	return make(map[intent.StepKind]intent.Actor)
}
