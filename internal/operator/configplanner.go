package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/configsync"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
)

// planPrefix tells configuration plans' ids from those of other planners.
const planPrefix = "config-"

// Expected durations of a configuration plan's steps.
const (
	expectedAccept = time.Second
	expectedSpread = 5 * time.Second
)

// Numbers of a configuration plan's steps.
const (
	stepAccept = 1
	stepSpread = 2
)

func planID(recordID string) string { return planPrefix + recordID }

// configPlanner keeps plans as proposals of package configsync.
type configPlanner struct {
	sync       *configsync.Syncer
	repository *configsync.Repository
}

var _ Planner = (*configPlanner)(nil)

func newConfigPlanner(options Options) *configPlanner {
	return &configPlanner{sync: options.Sync, repository: options.Repository}
}

// Kinds implements Planner.
func (p *configPlanner) Kinds() []string { return []string{KindConfig} }

// Propose implements Planner.
func (p *configPlanner) Propose(ctx context.Context, author string, request *operatorv1.ProposeRequest) (*operatorv1.Plan, error) {
	document, err := config.Parse(request.GetDocument())
	if err != nil {
		return nil, err
	}
	proposal, err := p.sync.Propose(ctx, configsync.Request{
		Document: document, Author: author, Base: request.GetBaseRevision(), AboveRestored: request.GetAboveRestored(),
	})
	if err != nil {
		return nil, err
	}
	return p.plan(proposal, configsync.StandingOpen, configsync.Record{}), nil
}

// Confirm implements Planner.
func (p *configPlanner) Confirm(ctx context.Context, _ string, request *operatorv1.ConfirmRequest) (*operatorv1.ConfirmResponse, error) {
	id, ok := strings.CutPrefix(request.GetPlanId(), planPrefix)
	if !ok {
		return nil, ErrUnknownPlan
	}
	record, err := p.sync.Confirm(ctx, id)
	if err != nil {
		return nil, unknownPlan(err)
	}
	inForce, members := p.sync.InForce(record.Revision)
	plan := p.plan(&configsync.Proposal{Record: record}, configsync.StandingAccepted, record)
	return &operatorv1.ConfirmResponse{
		Plan: plan, ConfigRevision: record.Revision, InForceOn: int32(inForce), Members: int32(members),
	}, nil
}

// Abandon implements Planner.
func (p *configPlanner) Abandon(ctx context.Context, author, id string) (*operatorv1.Plan, error) {
	recordID, ok := strings.CutPrefix(id, planPrefix)
	if !ok {
		return nil, ErrUnknownPlan
	}
	record, err := p.sync.Abandon(ctx, recordID)
	if err != nil {
		return nil, unknownPlan(err)
	}
	plan := p.plan(&configsync.Proposal{Record: record}, configsync.StandingStale, configsync.Record{})
	plan.State = operatorv1.PlanState_PLAN_STATE_ABANDONED
	plan.Detail = "abandoned by " + author
	return plan, nil
}

// Plan implements Planner.
func (p *configPlanner) Plan(ctx context.Context, id string) (*operatorv1.Plan, error) {
	recordID, ok := strings.CutPrefix(id, planPrefix)
	if !ok {
		return nil, ErrUnknownPlan
	}
	proposal, err := p.sync.Proposal(ctx, recordID)
	if err != nil {
		return nil, unknownPlan(err)
	}
	standing, head, err := p.repository.StandingOf(ctx, proposal.Record)
	if err != nil {
		return nil, err
	}
	return p.plan(proposal, standing, head), nil
}

// unknownPlan names a proposal as operators know it.
func unknownPlan(err error) error {
	if errors.Is(err, configsync.ErrNoSuchProposal) {
		return ErrUnknownPlan
	}
	return err
}

// Plans implements Planner: the open proposals, oldest first. Accepted ones are
// the history.
func (p *configPlanner) Plans(ctx context.Context) ([]*operatorv1.Plan, error) {
	open, err := p.repository.Open(ctx)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(open, func(a, b configsync.Record) int {
		return cmp.Or(a.Created.Compare(b.Created), cmp.Compare(a.ID, b.ID))
	})
	plans := make([]*operatorv1.Plan, 0, len(open))
	for _, record := range open {
		plans = append(plans, p.plan(&configsync.Proposal{Record: record}, configsync.StandingOpen, configsync.Record{}))
	}
	return plans, nil
}

// plan describes a proposal.
func (p *configPlanner) plan(proposal *configsync.Proposal, standing configsync.Standing, head configsync.Record) *operatorv1.Plan {
	record := proposal.Record
	plan := &operatorv1.Plan{
		Id: planID(record.ID), Kind: KindConfig, Author: record.Author,
		CreatedAtUnixMs: record.Created.UnixMilli(), BaseRevision: record.Base,
		Parameters: map[string]string{"revision": fmt.Sprint(record.Revision), "summary": record.Summary},
	}
	changes := proposal.Changes()
	plan.Changes = changesToWire(changes)
	affect(plan, changes)
	if proposal.Base != nil && proposal.Document != nil {
		plan.Risks = risksOf(proposal.Base, proposal.Document, changes)
	}
	inForce, members := p.sync.InForce(record.Revision)
	plan.Steps = steps(record, members)
	p.describe(plan, standing, head, inForce, members)
	return plan
}

func steps(record configsync.Record, members int) []*operatorv1.Step {
	return []*operatorv1.Step{
		{
			Number:             stepAccept,
			Description:        fmt.Sprintf("accept revision %d on top of %d by compare-and-swap", record.Revision, record.Base),
			Touches:            []string{"the platform's newest configuration"},
			ExpectedDurationMs: expectedAccept.Milliseconds(), PointOfNoReturn: true, State: stepPending,
		},
		{
			Number:             stepSpread,
			Description:        fmt.Sprintf("put revision %d in force on %d nodes", record.Revision, members),
			Touches:            []string{"all nodes"},
			ExpectedDurationMs: expectedSpread.Milliseconds(), State: stepPending,
		},
	}
}

// States of steps.
const (
	stepPending = "pending"
	stepRunning = "running"
	stepDone    = "done"
)

// describe sets the states of a plan and its steps.
func (p *configPlanner) describe(plan *operatorv1.Plan, standing configsync.Standing, head configsync.Record, inForce, members int) {
	switch standing {
	case configsync.StandingOpen:
		plan.State = operatorv1.PlanState_PLAN_STATE_PROPOSED
	case configsync.StandingStale:
		plan.State = operatorv1.PlanState_PLAN_STATE_STALE
		plan.Detail = (&configsync.StaleError{Base: plan.BaseRevision, Newest: head}).Error()
	case configsync.StandingAccepted:
		plan.State = operatorv1.PlanState_PLAN_STATE_RUNNING
		plan.Steps[stepAccept-1].State = stepDone
		plan.Steps[stepSpread-1].State = stepRunning
		plan.Detail = fmt.Sprintf("in force on %d of %d nodes", inForce, members)
		plan.Steps[stepSpread-1].Detail = plan.Detail
		if inForce == members {
			plan.State = operatorv1.PlanState_PLAN_STATE_DONE
			plan.Steps[stepSpread-1].State = stepDone
		}
	}
}
