package replica

// Replica is one registered process of an upstream.
type Replica struct {
	// ID names the replica. A process that starts again may keep it.
	ID string
	// StartedAt is the Unix millisecond of the process's start, by its own clock;
	// zero: it does not say. Together with the ID it names one process.
	StartedAt int64
	// Upstream is the name of the upstream it serves.
	Upstream string
	// Address is its IP address and port. A later process may get it again.
	Address          string
	AvailabilityZone string
	// Slots is the number of requests it runs at once.
	Slots int
	// Draining replicas get nothing new.
	Draining bool
	// Reclaimable replicas cost less, and the platform may take all of an availability
	// zone away at short notice.
	Reclaimable bool
}
