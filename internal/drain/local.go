package drain

import (
	"context"

	drainv1 "galenatrestle/internal/gen/trestle/drain/v1"
)

// Local is the node that a Service stands for.
type Local interface {
	// Work returns what the node has in flight.
	Work() *drainv1.GetWorkResponse
	// RegionWork returns the work of the region's nodes.
	RegionWork(ctx context.Context) *drainv1.GetRegionWorkResponse
	// Withdraw takes the node out of the entries and has its duties handed on;
	// it does not wait for that.
	Withdraw()
	// Restore takes a Withdraw back, except where the node is being stopped.
	Restore()
	// Free returns the slots that the upstreams have free in the data centre.
	Free(ctx context.Context, upstreams []string) (float64, error)
}
