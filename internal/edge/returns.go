package edge

import (
	"math/rand/v2"

	"galenatrestle/internal/forward"
	"galenatrestle/internal/returns"
)

// newReturns returns the schedule of refused callers' returns; nil if the settings have none.
func newReturns(options Options) *returns.Controller {
	if options.Settings.PassThrough.ReturnSchedule == nil {
		return nil
	}
	return returns.NewController(rand.New(rand.NewPCG(options.Seed, 6)))
}

// returnTable returns the returns to announce to other nodes; nil: none.
func (n *Node) returnTable() *returns.Table {
	if n.returns == nil {
		return nil
	}
	return n.returns.Table
}

// forwardReturns returns what the forwarder needs; nil: returns are not scheduled.
func (n *Node) forwardReturns() *forward.Returns {
	if n.returns == nil {
		return nil
	}
	return forward.NewReturns(n.returns, n.registry)
}
