package router

import (
	"time"

	"galenatrestle/internal/balancer"
	"galenatrestle/internal/circuit"
	"galenatrestle/internal/concurrency"
)

type replicaState struct {
	Replica
	// announcedLeaving is independent of the configured Replica.Leaving.
	announcedLeaving bool
	// pausedUntil is when a pause that the replica asked for ends.
	pausedUntil time.Time
	// removed replicas are kept until their last request has ended.
	removed bool
	running int
	// allowance is the number of slots granted to this node by the node that
	// owns the replica; negative if there is no such bound.
	allowance      int
	lastReport     LoadReport
	circuit        circuit.Breaker
	learnedLimit   *concurrency.Limit
	tokenTimeFloor concurrency.LatencyFloor
	pace           balancer.TokenLatency
	prefixes       balancer.PrefixHistory
	// slowness is the time between tokens relative to the pool's median; a long silence
	// raises it too.
	slowness float64
}

// newReplicaState returns the state of a new replica. A roundingOffset that differs between nodes
// keeps them from all rounding the replica's limit down.
func newReplicaState(r Replica, roundingOffset float64) *replicaState {
	if r.Slots <= 0 {
		r.Slots = defaultSlots
	}
	return &replicaState{
		Replica: r, allowance: -1, learnedLimit: concurrency.NewLimit(r.Slots, roundingOffset), slowness: 1,
	}
}

// acceptsNew reports whether the replica is neither leaving nor removed, regardless of its load and
// circuit.
func (r *replicaState) acceptsNew() bool {
	return !r.Leaving && !r.announcedLeaving && !r.removed
}

// limit returns the most requests that this node may run on the replica.
func (r *replicaState) limit() int {
	limit := r.learnedLimit.Value()
	if r.isStraggler() {
		limit = 1
	}
	if r.allowance >= 0 && r.allowance < limit {
		return r.allowance
	}
	return limit
}

func (r *replicaState) hasFreeSlot(now time.Time) bool {
	return r.acceptsNew() && r.running < r.limit() && r.isOpenAt(now)
}

// healthy reports whether the replica accepts new requests, is not paused and its circuit is closed,
// regardless of its load.
func (r *replicaState) healthy(now time.Time) bool {
	return r.acceptsNew() && r.isOpenAt(now) && r.circuit.NextProbeAt().IsZero()
}

// isOpenAt reports whether neither the circuit nor a pause keeps requests from the replica.
func (r *replicaState) isOpenAt(now time.Time) bool {
	return r.circuit.Allows(now) && !now.Before(r.pausedUntil)
}

// opensAt returns when the circuit allows the next probe and the pause is over, or a time in the past.
func (r *replicaState) opensAt() time.Time {
	if probeAt := r.circuit.NextProbeAt(); probeAt.After(r.pausedUntil) {
		return probeAt
	}
	return r.pausedUntil
}

func (r *replicaState) isStraggler() bool { return r.slowness >= balancer.StragglerThreshold }

func (r *replicaState) removable() bool { return r.removed && r.running == 0 }

func (r *replicaState) recordTokens(now time.Time, n int, elapsed time.Duration, idleTokenTime float64, adaptLimit bool) {
	secondsPerToken := elapsed.Seconds() / float64(n)
	r.pace.Observe(now, secondsPerToken)
	if !adaptLimit {
		return
	}
	if average := r.learnedLimit.Observe(now, secondsPerToken, idleTokenTime); average > 0 {
		r.tokenTimeFloor.Observe(now, average)
	}
}
