package retry

import "galenatrestle/internal/refusal"

// Action is what to do after a failed attempt.
type Action string

const (
	// Retry restarts the request, on another replica if possible.
	Retry Action = "retry"
	// Continue starts an attempt that resumes from the delivered prefix.
	Continue Action = "continue"
	// GiveUp ends the request with Decision.Refusal.
	GiveUp Action = "give_up"
)

// Decision is the result of Policy.Decide.
type Decision struct {
	Action Action
	// Reason is why an attempt is added; empty for GiveUp.
	Reason Reason
	// Refusal is set for GiveUp only.
	Refusal *refusal.Error
}
