package replica

import "strconv"

// Process identifies one process of a replica.
type Process struct {
	// ID is the replica's, StartedAt the process's start as in its registration.
	ID        string
	StartedAt int64
}

// Process returns the registered process.
func (r *Replica) Process() Process { return Process{ID: r.ID, StartedAt: r.StartedAt} }

// String names the process, which a later one with the same ID differs from.
func (p Process) String() string { return p.ID + "@" + strconv.FormatInt(p.StartedAt, 10) }
