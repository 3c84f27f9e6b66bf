package claim

import (
	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

// Command is one request on one claim.
type Command interface {
	// apply returns the claim's next state, the same pointer where nothing
	// changes, and the answer. A nil state is a claim that does not exist.
	apply(state *claimv1.Record) (*claimv1.Record, Decision)
}

// Apply is the decision on one claim. It is pure: it changes neither argument.
func Apply(state *claimv1.Record, command Command) (*claimv1.Record, Decision) {
	return command.apply(state)
}
