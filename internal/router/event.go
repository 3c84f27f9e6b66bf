package router

import "galenatrestle/internal/refusal"

// Decision is a result of Pool.Decide. Exactly one of Replica and Refused is set.
type Decision struct {
	ID      string
	Replica *Replica
	// Choice explains why Replica was chosen.
	Choice Choice
	// Refused is why a waiting request was refused.
	Refused *refusal.Error
}
