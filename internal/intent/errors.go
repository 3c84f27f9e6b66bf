package intent

import (
	"errors"
	"fmt"

	"galenatrestle/internal/platform/readback"
)

// ErrNotKnown says that a write may or may not have taken effect; asking again
// is safe.
var ErrNotKnown = readback.ErrNotKnown

// Sentinel errors of plans.
var (
	// ErrUnknownPlan says that no plan has the id.
	ErrUnknownPlan = errors.New("intent: no such plan")
	// ErrSuperseded says that an executor with a higher epoch has the plan.
	ErrSuperseded = errors.New("intent: superseded by an executor with a higher epoch")
	// ErrTooManyActive says that MaxActive plans run already.
	ErrTooManyActive = errors.New("intent: too many plans are running")
)

// StaleError says that a plan's base moved, and through whom.
type StaleError struct {
	PlanID string
	Base   Base
	Now    Base
	// Operator and Change say who moved the base and what was changed.
	Operator string
	Change   string
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("intent: plan %s is stale: worked out on configuration %d, head %d; now %d, %d: %s by %s",
		e.PlanID, e.Base.Config, e.Base.Head, e.Now.Config, e.Now.Head, e.Change, e.Operator)
}

// RiskError says that a plan needs the operator to accept its risks.
type RiskError struct {
	PlanID string
	Risks  []string
}

// Error implements error.
func (e *RiskError) Error() string {
	return fmt.Sprintf("intent: plan %s needs accept_risk: %v", e.PlanID, e.Risks)
}

// StateError says that a plan's state forbids what was asked.
type StateError struct {
	PlanID  string
	State   State
	Message string
}

// Error implements error.
func (e *StateError) Error() string {
	return fmt.Sprintf("intent: plan %s is %s: %s", e.PlanID, e.State, e.Message)
}

// FatalError is returned by an Actor for a step that certainly did nothing and
// never will; the plan is then undone and ends as failed.
type FatalError struct {
	Reason string
}

// Error implements error.
func (e *FatalError) Error() string { return e.Reason }
