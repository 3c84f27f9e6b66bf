package retry

import "galenatrestle/internal/refusal"

// Action is what to do after a failed attempt.
type Action string

// The actions.
const (
	// Retry starts the whole request again, at another replica if possible.
	Retry Action = "retry"
	// Continue starts an attempt that goes on from the delivered prefix.
	Continue Action = "continue"
	// GiveUp ends the request with Decision.Refusal.
	GiveUp Action = "give_up"
)

// Decision is the answer of Policy.Decide.
type Decision struct {
	Action Action
	// Reason is why an attempt is added; empty for GiveUp.
	Reason Reason
	// Refusal is set for GiveUp only.
	Refusal *refusal.Error
}
