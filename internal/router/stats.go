package router

import "time"

// Stats is a snapshot of a pool.
type Stats struct {
	Classes  []ClassStats
	Replicas []ReplicaStats
	// Bound, Refused and Cancelled count waiting requests since the start.
	Bound     uint64
	Refused   uint64
	Cancelled uint64
}

// ClassStats counts one class's requests.
type ClassStats struct {
	Name    string
	Tier    int
	Waiting int
	Running int
	// Slack is the time left until the most urgent of the waiting has to start
	// to meet its target; negative where it is late, zero where none waits.
	Slack time.Duration
}

// ReplicaStats is what the pool knows of one replica.
type ReplicaStats struct {
	Name    string
	Running int
	// Slots is the replica's own limit, whatever its owner gave to this node.
	Slots int
	// Limit is the most requests this node runs on it at present.
	Limit int
	// Leaving replicas get nothing new.
	Leaving bool
	// Slowness is the replica's time between tokens as a multiple of the
	// pool's usual one; 1 is usual, 0 is not known.
	Slowness float64
}
