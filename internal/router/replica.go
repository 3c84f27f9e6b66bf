package router

import "time"

// Replica is one candidate as configured.
type Replica struct {
	Name             string
	Address          string
	AvailabilityZone string
	// Slots is the concurrency limit to start with.
	Slots int
	// Leaving replicas get nothing new.
	Leaving bool
}

// LoadReport is a replica's own report.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	// At is when the replica measured it, by this node's clock.
	At time.Time
}
