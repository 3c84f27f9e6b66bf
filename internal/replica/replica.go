package replica

// Replica is one registered process of an upstream.
type Replica struct {
	// ID is new at each start of the process.
	ID string
	// Upstream is the name of the upstream it serves.
	Upstream string
	// Address is its IP address and port. A later process may get it again.
	Address          string
	AvailabilityZone string
	// Slots is the number of requests it runs at once.
	Slots int
	// Draining replicas get nothing new.
	Draining bool
}
