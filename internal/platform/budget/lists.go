package budget

import (
	"context"

	"galenatrestle/internal/platform"
)

// Instances is a platform.Instances within a duty's budget.
type Instances struct {
	gate  *gate
	inner platform.Instances
}

// NewInstances returns an instance list for one duty.
func NewInstances(inner platform.Instances, config Config, counters *Counters) *Instances {
	return &Instances{gate: newGate(config, counters), inner: inner}
}

// Instances implements platform.Instances.
func (i *Instances) Instances(ctx context.Context) (list []platform.Instance, err error) {
	err = i.gate.pass(ctx, platform.CallInstances, func() error {
		list, err = i.inner.Instances(ctx)
		return err
	})
	return list, err
}
