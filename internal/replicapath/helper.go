package replicapath

// Helper is another node that may connect to replicas for this one.
type Helper struct {
	Name string
	// Address is its peer address.
	Address string
}
