package operator

import (
	"context"

	inspectv1 "galenatrestle/internal/gen/trestle/inspect/v1"
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

// Inspector asks the nodes what they alone know; *inspect.Asker is one.
type Inspector interface {
	// Explain returns the request's decisions in their order. Its error is a
	// *connect.Error that says why nothing is known of the request.
	Explain(ctx context.Context, requestID string) ([]*operatorv1.Decision, error)
	// Report returns what a node tells of itself.
	Report(ctx context.Context, node, address string) (*inspectv1.ReportResponse, error)
}

// Entries returns the entry addresses as callers of a zone are told them.
type Entries func(availabilityZone string) (entries []*operatorv1.Entry, ttlSeconds int32)
