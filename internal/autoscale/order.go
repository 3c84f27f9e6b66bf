package autoscale

import (
	"context"

	"galenatrestle/internal/duty"
)

// Kind is the provisioning type of a replica.
type Kind string

// Replica kinds.
const (
	// OnDemand replicas run until an order removes them.
	OnDemand Kind = "on_demand"
	// Reclaimable replicas cost less, but the platform may reclaim all of those in an
	// availability zone at short notice.
	Reclaimable Kind = "reclaimable"
)

// Pool identifies the replicas that one order applies to.
type Pool struct {
	Upstream         string
	AvailabilityZone string
	Kind             Kind
}

// Order sets the wanted number of replicas of a pool.
type Order struct {
	Pool
	Replicas int
}

// Platform accepts orders. An error that wraps platform.ErrConflict means that the pool
// has no capacity left or that a later holder has ordered. After an error that wraps
// platform.ErrUnavailable the order may or may not have been accepted.
type Platform interface {
	Order(ctx context.Context, term duty.Term, o Order) error
}
