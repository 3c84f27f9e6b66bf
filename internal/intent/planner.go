package intent

import (
	"fmt"
	"slices"
	"time"

	"galenatrestle/internal/config"
)

// Expected durations of steps whose real length is not known beforehand.
const (
	expectedWrite    = time.Second
	expectedKeepTime = 10 * time.Second
	expectedFlight   = 30 * time.Second
	expectedLoad     = 2 * time.Minute
)

// Build works an intent out into a plan. It is pure. It returns a *FieldError
// where the intent names something that the document does not have.
func Build(in Intent, doc *config.Document, base Base, stats Stats) (*Plan, error) {
	if err := in.Check(); err != nil {
		return nil, err
	}
	b := &builder{intent: in, doc: doc, stats: stats}
	if err := b.build(); err != nil {
		return nil, err
	}
	for _, name := range stats.Silent {
		b.risk("VM %s does not answer: its requests in flight are not counted", name)
	}
	plan := &Plan{Intent: in, Base: base, Steps: b.steps, Risks: b.risks, State: StateProposed}
	for _, s := range plan.Steps {
		plan.NeedsAcceptRisk = plan.NeedsAcceptRisk || slices.ContainsFunc(s.Capacity, isBelowTarget)
	}
	plan.NeedsAcceptRisk = plan.NeedsAcceptRisk || b.risky
	return plan, nil
}

func isBelowTarget(c ClassCapacity) bool { return c.BelowTarget }

type builder struct {
	intent Intent
	doc    *config.Document
	stats  Stats
	steps  []Step
	risks  []string
	risky  bool
}

func (b *builder) build() error {
	switch b.intent.Kind {
	case KindApplyConfig:
		return b.applyConfig()
	case KindDrainVM:
		return b.drainVM()
	case KindDrainReplica:
		return b.drainReplica()
	case KindDeclareDead:
		return b.declareDead()
	case KindMoveUpstream, KindMoveWorkspaces:
		return b.move()
	}
	return b.orders()
}

func (b *builder) add(s Step) {
	s.Number = len(b.steps) + 1
	s.State = StepPending
	b.steps = append(b.steps, s)
}

func (b *builder) risk(format string, args ...any) {
	b.risks = append(b.risks, fmt.Sprintf(format, args...))
}

func (b *builder) noteBelowTarget(list []ClassCapacity) {
	for _, c := range list {
		if c.BelowTarget {
			b.risk("class %s would be below its target on upstream %s: %.1f slots left of %.1f needed",
				c.Class, c.Upstream, c.Left, c.Needed)
		}
	}
}

func (b *builder) applyConfig() error {
	b.add(Step{Kind: StepWriteConfig, Touches: []string{"configuration"}, Expected: expectedWrite, NoReturn: true})
	b.add(Step{Kind: StepAwaitInForce, Touches: []string{"all nodes"}, Expected: expectedKeepTime})
	return nil
}

func (b *builder) drainVM() error {
	name := b.intent.VM
	vm, ok := b.stats.VMs[name]
	if !ok {
		return &FieldError{Field: "vm", Value: name, Message: "is not a live entry VM"}
	}
	if len(b.stats.VMs) == 1 {
		return &FieldError{Field: "vm", Value: name, Message: "is the only entry VM: no other could go on with the plan"}
	}
	b.checkVMLoad(name)
	touches := []string{"VM " + name}
	b.add(Step{Kind: StepWithdrawEntry, Target: name, Touches: append(touches, "entry list"), InFlight: vm.InFlight, Expected: expectedWrite})
	b.add(Step{Kind: StepHandOnDuties, Target: name, Touches: touches, Expected: expectedWrite})
	b.add(Step{Kind: StepAwaitKeepTime, Target: name, Touches: touches, Expected: expectedKeepTime})
	b.add(Step{Kind: StepAwaitVM, Target: name, Touches: touches, InFlight: vm.InFlight, Expected: expectedFlight})
	return nil
}

// checkVMLoad compares the load of all entry VMs with what is left without the
// named one.
func (b *builder) checkVMLoad(name string) {
	load := 0.0
	for _, vm := range b.stats.VMs {
		load += vm.Load
	}
	left := float64(len(b.stats.VMs) - 1)
	if load <= left && left > 0 {
		return
	}
	b.risky = true
	b.risk("without VM %s the entry VMs' load is %.2f of %.0f VMs: all classes may be below their targets", name, load, left)
}

func (b *builder) drainReplica() error {
	u, err := findUpstream(b.doc, b.intent.Upstream)
	if err != nil {
		return err
	}
	r, err := findReplica(u, b.intent.Replica)
	if err != nil {
		return err
	}
	if r.Leaving {
		return &FieldError{Field: "replica", Value: r.Name, Message: "is leaving already"}
	}
	left := capacityLeft(b.doc, u.Name, slots(u, r.Name), b.stats.Demand[u.Name])
	b.noteBelowTarget(left)
	inFlight := b.stats.Replicas[u.Name][r.Name]
	touches := []string{fmt.Sprintf("replica %s of upstream %s", r.Name, u.Name)}
	b.add(Step{Kind: StepMarkLeaving, Target: r.Name, Touches: touches, Capacity: left, InFlight: inFlight, Expected: expectedWrite})
	b.add(Step{Kind: StepAwaitReplica, Target: r.Name, Touches: touches, Capacity: left, InFlight: inFlight, Expected: expectedFlight})
	return nil
}

// declareDead is always risky: no part of the system can prove that a VM runs
// no more.
func (b *builder) declareDead() error {
	name := b.intent.VM
	b.risky = true
	b.risk("if VM %s still runs, it and another data centre may both start work of a moving set: make sure that it is off", name)
	if _, ok := b.stats.VMs[name]; ok {
		b.risk("VM %s is a live member just now", name)
	}
	b.add(Step{
		Kind: StepDeclareDead, Target: name, Expected: expectedWrite, NoReturn: true,
		Touches: []string{"registration of VM " + name, "moves that wait for it"},
	})
	return nil
}
