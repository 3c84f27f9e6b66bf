package replicapath

import (
	"errors"
	"syscall"
)

var (
	// ErrPathLost means that a node reaches no replica.
	ErrPathLost = errors.New("the node reaches no replica")
	// ErrNoReplica means that no replica is known at an address.
	ErrNoReplica = errors.New("no replica is known at the address")
	// ErrUnreachable means that another node could not connect to the replica.
	ErrUnreachable = errors.New("another node could not connect to the replica")

	errNoHelper = errors.New("no other node can connect to replicas")
)

// isOfReplica reports whether the error of another node tells something of the replica, not of
// that node or the way to it.
func isOfReplica(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, syscall.ECONNREFUSED)
}
