package router

import (
	"time"

	"galenatrestle/internal/circuit"
)

// replicaState is what a pool knows of one replica.
type replicaState struct {
	Replica
	// announced says that the replica itself or its platform is leaving,
	// whatever the configuration says.
	announced bool
	// removed replicas are kept until their last request has ended.
	removed bool
	running int
	// allowance is the number of slots given by the replica's owner;
	// negative where only this node's limit counts.
	allowance int
	report    Load
	// circuit keeps requests off a replica that fails at once.
	circuit  circuit.Breaker
	reported time.Time
}

func newReplicaState(r Replica) *replicaState {
	if r.Slots <= 0 {
		r.Slots = defaultSlots
	}
	return &replicaState{Replica: r, allowance: -1}
}

// open says whether the replica may get new requests at all.
func (r *replicaState) open() bool {
	return !r.Leaving && !r.announced && !r.removed
}

// limit is the most requests this node runs on the replica.
func (r *replicaState) limit() int {
	if r.allowance >= 0 && r.allowance < r.Slots {
		return r.allowance
	}
	return r.Slots
}

// free says whether the replica takes another request now.
func (r *replicaState) free(now time.Time) bool {
	return r.open() && r.running < r.limit() && r.circuit.Allows(now)
}

// forgettable says whether nothing holds the replica any more.
func (r *replicaState) forgettable() bool { return r.removed && r.running == 0 }
