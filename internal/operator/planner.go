package operator

import (
	"context"

	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
)

// Planner keeps the plans of one or more kinds of intent. Its errors are
// mapped to codes by what errors.As and errors.Is find in them; Confirm,
// Abandon and Plan return one that is ErrUnknownPlan for another's plan.
type Planner interface {
	// Kinds returns the kinds of intent it takes.
	Kinds() []string
	// Propose turns an intent into a plan; nothing happens yet.
	Propose(ctx context.Context, author string, request *operatorv1.ProposeRequest) (*operatorv1.Plan, error)
	// Confirm lets a plan take effect and returns once that is accepted.
	Confirm(ctx context.Context, author string, request *operatorv1.ConfirmRequest) (*operatorv1.ConfirmResponse, error)
	// Abandon drops a plan as far as that is safe.
	Abandon(ctx context.Context, author, id string) (*operatorv1.Plan, error)
	// Plan returns one plan.
	Plan(ctx context.Context, id string) (*operatorv1.Plan, error)
	// Plans returns the plans that are kept.
	Plans(ctx context.Context) ([]*operatorv1.Plan, error)
}

// Explainer tells what happened to a request.
type Explainer interface {
	// Explain returns the request's decisions in their order; false where the
	// request is not known here.
	Explain(ctx context.Context, requestID string) ([]*operatorv1.Decision, bool)
}

// Entries returns the entry addresses as callers of a zone are told them.
type Entries func(availabilityZone string) (entries []*operatorv1.Entry, ttlSeconds int32)

// Leases returns the leases of duties that this node knows of.
type Leases func() []*operatorv1.Lease
