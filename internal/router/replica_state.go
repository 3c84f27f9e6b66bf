package router

import (
	"time"

	"galenatrestle/internal/balancer"
	"galenatrestle/internal/circuit"
	"galenatrestle/internal/concurrency"
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
	report    LoadReport
	// circuit keeps requests off a replica that fails at once.
	circuit  circuit.Breaker
	learned  *concurrency.Limit
	floor    concurrency.Floor
	pace     balancer.Pace
	prefixes balancer.Prefixes
	// slowness is the pace as a multiple of the pool's usual one.
	slowness float64
}

// newReplicaState takes the random offset that spreads the rounding of limits.
func newReplicaState(r Replica, offset float64) *replicaState {
	if r.Slots <= 0 {
		r.Slots = defaultSlots
	}
	return &replicaState{
		Replica: r, allowance: -1, learned: concurrency.NewLimit(r.Slots, offset), slowness: 1,
	}
}

// open says whether the replica may get new requests at all.
func (r *replicaState) open() bool {
	return !r.Leaving && !r.announced && !r.removed
}

// limit is the most requests this node runs on the replica.
func (r *replicaState) limit() int {
	limit := r.learned.Value()
	if r.suspect() {
		limit = 1
	}
	if r.allowance >= 0 && r.allowance < limit {
		return r.allowance
	}
	return limit
}

// free says whether the replica takes another request now.
func (r *replicaState) free(now time.Time) bool {
	return r.open() && r.running < r.limit() && r.circuit.Allows(now)
}

// works says whether the replica is open and did not fail last.
func (r *replicaState) works(now time.Time) bool {
	return r.open() && r.circuit.Allows(now) && r.circuit.ReopensAt().IsZero()
}

// suspect says whether the replica is taken for a straggler.
func (r *replicaState) suspect() bool { return r.slowness >= balancer.SuspectFrom }

// forgettable says whether nothing holds the replica any more.
func (r *replicaState) forgettable() bool { return r.removed && r.running == 0 }

// tokens takes in that n tokens took the given time.
func (r *replicaState) tokens(now time.Time, n int, took time.Duration, reference float64, learn bool) {
	seconds := took.Seconds() / float64(n)
	r.pace.Observe(now, seconds)
	if !learn {
		return
	}
	if average := r.learned.Observe(now, seconds, reference); average > 0 {
		r.floor.Observe(now, average)
	}
}
