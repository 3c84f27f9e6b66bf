package claim

import (
	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

// Command is an operation on one claim.
type Command interface {
	// apply returns the next state of the claim and the decision. It returns the same
	// pointer if nothing changes. A nil state means that the claim does not exist.
	apply(state *claimv1.Record) (*claimv1.Record, Decision)
}

// Apply runs a command on the state of one claim. It is a pure function: it modifies
// neither argument.
func Apply(state *claimv1.Record, command Command) (*claimv1.Record, Decision) {
	return command.apply(state)
}
