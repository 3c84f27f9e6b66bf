package replica

// Replica is one registered process of an upstream.
type Replica struct {
	// ID identifies the replica. A restarted process may keep it.
	ID string
	// StartedAt is the process's start in Unix milliseconds by its own clock; zero if it is not
	// reported. ID and StartedAt together identify one process.
	StartedAt int64
	// Upstream is the name of the upstream that the replica belongs to.
	Upstream string
	// Address is the IP address and port. A later process may reuse it.
	Address          string
	AvailabilityZone string
	// Version is that of the software that the replica runs; empty: it does not report it. Streams of
	// two versions do not fit together.
	Version string
	// Slots is the number of requests that the replica runs concurrently.
	Slots int
	// Draining replicas receive no new requests.
	Draining bool
	// Reclaimable replicas run on discounted capacity: the platform may take all of them in an
	// availability zone away at short notice.
	Reclaimable bool
}
