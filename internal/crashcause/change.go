package crashcause

// Change is a certain cause that was found or has crashed another replica, or one that is none any more.
type Change struct {
	Cause Cause
	// Ended is whether the factor is no cause any more.
	Ended bool
	// IsLocal is whether a replica crashed under a call of this node with the factor.
	IsLocal bool
}
