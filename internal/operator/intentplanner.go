package operator

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"galenatrestle/internal/configsync"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/intent"
)

// intentPlanner keeps the plans of package intent: all kinds but config.
type intentPlanner struct {
	store   *intent.Store
	current *configsync.Current
	stats   StatsFunc
}

// StatsFunc returns the present load, as far as a plan for the intent needs it.
type StatsFunc func(ctx context.Context, wanted intent.Intent) intent.Stats

// NewIntentPlanner returns a Planner over the store. Plans are worked out on
// the configuration in force and on what stats returns.
func NewIntentPlanner(store *intent.Store, current *configsync.Current, stats StatsFunc) Planner {
	return &intentPlanner{store: store, current: current, stats: stats}
}

// Kinds implements Planner.
func (p *intentPlanner) Kinds() []string {
	return []string{
		string(intent.KindDrainVM), string(intent.KindDrainReplica),
		string(intent.KindMoveUpstream), string(intent.KindMoveWorkspaces),
		string(intent.KindLoad), string(intent.KindUnload), string(intent.KindChangeRole), string(intent.KindDeclareDead),
	}
}

// Propose implements Planner.
func (p *intentPlanner) Propose(ctx context.Context, author string, request *operatorv1.ProposeRequest) (*operatorv1.Plan, error) {
	wanted, err := intentOf(request)
	if err != nil {
		return nil, err
	}
	index := p.current.Index()
	if index == nil {
		return nil, configsync.ErrNoSuchRevision
	}
	base, err := p.store.Base(ctx)
	if err != nil {
		return nil, err
	}
	plan, err := intent.Build(wanted, index.Document(), base, p.stats(ctx, wanted))
	if err != nil {
		return nil, err
	}
	stored, err := p.store.Propose(ctx, plan, author)
	if err != nil {
		return nil, err
	}
	return planToWire(stored), nil
}

// Confirm implements Planner.
func (p *intentPlanner) Confirm(ctx context.Context, author string, request *operatorv1.ConfirmRequest) (*operatorv1.ConfirmResponse, error) {
	plan, err := p.store.Confirm(ctx, request.GetPlanId(), author, request.GetAcceptRisk())
	if err != nil {
		return nil, unknownIntent(err)
	}
	wire := planToWire(plan)
	if plan.State == intent.StateProposed {
		acceptedToWire(wire)
	}
	return &operatorv1.ConfirmResponse{Plan: wire}, nil
}

// Abandon implements Planner.
func (p *intentPlanner) Abandon(ctx context.Context, _, id string) (*operatorv1.Plan, error) {
	plan, err := p.store.Abandon(ctx, id)
	if err != nil {
		return nil, unknownIntent(err)
	}
	return planToWire(plan), nil
}

// Plan implements Planner.
func (p *intentPlanner) Plan(ctx context.Context, id string) (*operatorv1.Plan, error) {
	plan, err := p.store.Plan(ctx, id)
	if err != nil {
		return nil, unknownIntent(err)
	}
	active, err := p.store.Active(ctx)
	if err != nil {
		return nil, err
	}
	return planIn(plan, active), nil
}

// Plans implements Planner.
func (p *intentPlanner) Plans(ctx context.Context) ([]*operatorv1.Plan, error) {
	plans, err := p.store.Plans(ctx)
	if err != nil {
		return nil, err
	}
	active, err := p.store.Active(ctx)
	if err != nil {
		return nil, err
	}
	wire := make([]*operatorv1.Plan, 0, len(plans))
	for _, plan := range plans {
		wire = append(wire, planIn(plan, active))
	}
	return wire, nil
}

// planIn translates a plan, which runs already where it is among the active
// ones.
func planIn(plan *intent.Plan, active []string) *operatorv1.Plan {
	wire := planToWire(plan)
	if plan.State == intent.StateProposed && slices.Contains(active, plan.ID) {
		acceptedToWire(wire)
	}
	return wire
}

// acceptedToWire marks a plan whose first step no executor has written yet.
func acceptedToWire(wire *operatorv1.Plan) {
	wire.State = operatorv1.PlanState_PLAN_STATE_RUNNING
	wire.Detail = "accepted; waits for the node that carries out plans"
}

func unknownIntent(err error) error {
	if errors.Is(err, intent.ErrUnknownPlan) {
		return ErrUnknownPlan
	}
	return err
}

// intentOf types the parameters; one that is not known is refused.
func intentOf(request *operatorv1.ProposeRequest) (intent.Intent, error) {
	wanted := intent.Intent{Kind: intent.Kind(request.GetKind())}
	fields := map[string]*string{
		"vm": &wanted.VM, "upstream": &wanted.Upstream, "replica": &wanted.Replica,
		"data_centre": &wanted.DataCentre, "model": &wanted.Model, "version": &wanted.Version, "role": &wanted.Role,
	}
	for name, value := range request.GetParameters() {
		field, known := fields[name]
		switch {
		case known:
			*field = value
		case name == "workspaces":
			wanted.Workspaces = strings.Split(value, ",")
		default:
			return intent.Intent{}, &intent.FieldError{Field: name, Value: value, Message: "is not a parameter of an intent"}
		}
	}
	return wanted, nil
}

// planStates translates how far a plan is.
var planStates = map[intent.State]operatorv1.PlanState{
	intent.StateProposed:   operatorv1.PlanState_PLAN_STATE_PROPOSED,
	intent.StateRunning:    operatorv1.PlanState_PLAN_STATE_RUNNING,
	intent.StateAbandoning: operatorv1.PlanState_PLAN_STATE_RUNNING,
	intent.StateAbandoned:  operatorv1.PlanState_PLAN_STATE_ABANDONED,
	intent.StateDone:       operatorv1.PlanState_PLAN_STATE_DONE,
	intent.StateFailed:     operatorv1.PlanState_PLAN_STATE_FAILED,
}

func planToWire(plan *intent.Plan) *operatorv1.Plan {
	wire := &operatorv1.Plan{
		Id: plan.ID, Kind: string(plan.Intent.Kind), Author: plan.Operator,
		Parameters:      map[string]string{"summary": plan.Intent.Summary()},
		CreatedAtUnixMs: plan.Proposed.UnixMilli(), BaseRevision: plan.Base.Config,
		State: planStates[plan.State], Detail: plan.Failure, NeedsAcceptRisk: plan.NeedsAcceptRisk,
		AffectedWorkspaces: plan.Intent.Workspaces,
	}
	if plan.State == intent.StateAbandoning {
		wire.Detail = "being undone"
	}
	if plan.State == intent.StateDone {
		wire.Detail = plan.Intent.Outcome()
	}
	if plan.Intent.Upstream != "" {
		wire.AffectedUpstreams = []string{plan.Intent.Upstream}
	}
	for _, risk := range plan.Risks {
		wire.Risks = append(wire.Risks, &operatorv1.Risk{Subject: string(plan.Intent.Kind), Message: risk})
	}
	for _, step := range plan.Steps {
		wire.Steps = append(wire.Steps, stepToWire(step))
		wire.AffectedClasses = appendClasses(wire.AffectedClasses, step)
	}
	return wire
}

func appendClasses(names []string, step intent.Step) []string {
	for _, capacity := range step.Capacity {
		if !slices.Contains(names, capacity.Class) {
			names = appendBounded(names, capacity.Class)
		}
	}
	return names
}

func stepToWire(step intent.Step) *operatorv1.Step {
	wire := &operatorv1.Step{
		Number: int32(step.Number), Description: strings.TrimSpace(string(step.Kind) + " " + step.Target),
		Touches: step.Touches, State: string(step.State), Detail: step.Wait,
		ExpectedDurationMs: step.Expected.Milliseconds(), PointOfNoReturn: step.NoReturn,
		InFlight: int32(step.InFlight), StartedAtUnixMs: unixMs(step.Started), FinishedAtUnixMs: unixMs(step.Finished),
	}
	for _, c := range step.Capacity {
		wire.Capacity = append(wire.Capacity, &operatorv1.Capacity{
			Class: c.Class, Upstream: c.Upstream, Left: c.Left, Needed: c.Needed, BelowTarget: c.BelowTarget,
		})
	}
	return wire
}

// unixMs is zero for a time that is not known yet.
func unixMs(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}
