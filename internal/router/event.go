package router

import "galenatrestle/internal/refusal"

// Decision is a decision of Pool.Next: exactly one of Replica and Refused is set.
type Decision struct {
	ID string
	// Replica is the replica the request is bound to.
	Replica *Replica
	// Choice is why it is bound to that one.
	Choice Choice
	// Refused is why the request was given up while it waited.
	Refused *refusal.Error
}
