package autoscale

import (
	"context"

	"galenatrestle/internal/duty"
)

// Kind says on which terms replicas run.
type Kind string

// The kinds.
const (
	// OnDemand replicas run until they are ordered away.
	OnDemand Kind = "on_demand"
	// Reclaimable replicas cost less, and all of an availability zone may be taken away
	// at short notice.
	Reclaimable Kind = "reclaimable"
)

// Pool is the replicas that one order is about.
type Pool struct {
	Upstream         string
	AvailabilityZone string
	Kind             Kind
}

// Order says how many replicas of a pool there should be.
type Order struct {
	Pool
	Replicas int
}

// Platform takes orders. After an error that wraps platform.ErrConflict there are none
// of the pool to be had, or a later holder has ordered; after platform.ErrUnavailable
// the order may have been taken.
type Platform interface {
	Order(ctx context.Context, term duty.Term, o Order) error
}
