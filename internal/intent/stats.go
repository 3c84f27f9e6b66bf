package intent

// Stats is what the planner knows of the present load. All of it is soft state
// and may be stale: it shapes what a plan says, never what a step may do.
type Stats struct {
	// VMs are the entry VMs by name.
	VMs map[string]VMStats
	// Replicas are the replicas' requests in flight, by upstream and replica.
	Replicas map[string]map[string]int
	// Demand is the mean number of slots in use or waited for, by upstream and
	// class.
	Demand map[string]map[string]float64
	// Silent are the entry VMs that did not say what they have in flight.
	Silent []string
	// Target is what the other data centre says of itself, for a move.
	Target TargetStats
}

// VMStats describes one entry VM.
type VMStats struct {
	InFlight int
	// Load is the part of its capacity in use, from 0 to 1.
	Load float64
}

// TargetStats describes the other data centre.
type TargetStats struct {
	// Slots it has free for the moved set; zero means not known yet.
	Slots float64
}
