package intent

import (
	"fmt"

	"galenatrestle/internal/config"
)

// orders plans a load, an unload or a change of role, one replica after the
// other, so that never more than one is out of service.
func (b *builder) orders() error {
	u, err := findUpstream(b.doc, b.intent.Upstream)
	if err != nil {
		return err
	}
	if u.Kind != config.KindEngine {
		return &FieldError{Field: "upstream", Value: u.Name, Message: "is not an engine: it takes no orders"}
	}
	replicas := u.Replicas
	if b.intent.Replica != "" {
		r, err := findReplica(u, b.intent.Replica)
		if err != nil {
			return err
		}
		replicas = []config.Replica{r}
	}
	if !u.HonoursFencing {
		b.risk("engines of upstream %s do not check who orders: a new holder of the pool's lease waits before its first order", u.Name)
	}
	for _, r := range replicas {
		b.order(u, r)
	}
	if b.intent.Kind != KindLoad {
		b.noteBelowTarget(capacityLeft(b.doc, u.Name, slots(u, replicas[0].Name), b.stats.Demand[u.Name]))
	}
	return nil
}

func (b *builder) order(u config.Upstream, r config.Replica) {
	step := Step{
		Kind: StepOrderLoad, Target: r.Name, Expected: expectedLoad,
		Touches:  []string{fmt.Sprintf("replica %s of upstream %s", r.Name, u.Name)},
		InFlight: b.stats.Replicas[u.Name][r.Name],
	}
	if b.intent.Kind == KindLoad {
		step.Touches = append(step.Touches, "weight store")
		b.add(step)
		return
	}
	step.Kind = StepOrderUnload
	if b.intent.Kind == KindChangeRole {
		step.Kind = StepOrderRole
	}
	// A replica without the model or in another role may serve nothing of the
	// upstream: the capacity is counted without it.
	step.Capacity = capacityLeft(b.doc, u.Name, slots(u, r.Name), b.stats.Demand[u.Name])
	step.Expected = expectedFlight
	b.add(step)
}
