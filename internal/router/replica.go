package router

import "time"

// Replica is the configuration of a replica.
type Replica struct {
	Name             string
	Address          string
	AvailabilityZone string
	// Slots is the initial concurrency limit.
	Slots int
	// Leaving replicas get no new requests.
	Leaving bool
}

// LoadReport is the load measured by a replica itself.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	// At is the time of measurement by this node's clock.
	At time.Time
}
