package router

import "time"

// Stats is a snapshot of a pool.
type Stats struct {
	Classes  []ClassStats
	Replicas []ReplicaStats
	// Bound, Refused and Cancelled count requests that left the queue.
	Bound     uint64
	Refused   uint64
	Cancelled uint64
}

// ClassStats is a snapshot of one class.
type ClassStats struct {
	Name    string
	Tier    int
	Waiting int
	Running int
	// Slack is the time left to start the most urgent waiting request in time; negative if that
	// has passed, zero if no request waits.
	Slack time.Duration
}

// ReplicaStats is a snapshot of one replica.
type ReplicaStats struct {
	Name    string
	Running int
	// Slots is the configured concurrency limit.
	Slots int
	// Limit is the most requests that this node may run on the replica now.
	Limit int
	// Leaving replicas get no new requests.
	Leaving bool
	// Slowness is the time between tokens relative to the pool's median; 1 is normal.
	Slowness float64
}
