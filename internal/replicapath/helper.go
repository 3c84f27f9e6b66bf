package replicapath

// Helper is another node that may connect to replicas for this one.
type Helper struct {
	Name string
	// Address is its peer address.
	Address string
	// Leaving nodes are asked last: their connections may end with them.
	Leaving bool
}
