package replicapath

import "fmt"

// RelayError is what another node met when it connected to a replica for this one.
type RelayError struct {
	// Address is the replica's, Helper the other node's name.
	Address, Helper string
	Err             error
}

func (e *RelayError) Error() string {
	return fmt.Sprintf("connect to %s through %s: %v", e.Address, e.Helper, e.Err)
}

func (e *RelayError) Unwrap() error { return e.Err }
