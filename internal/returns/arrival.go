package returns

import "time"

// Kind is what is known of the caller of a call that has just arrived.
type Kind string

const (
	// Newcomer was not told to return, as far as this node knows.
	Newcomer Kind = ""
	// AsTold returns at the time that it was told, or later.
	AsTold Kind = "as_told"
	// Early returns before that time.
	Early Kind = "early"
)

// Arrival is the decision on a call that has just arrived.
type Arrival struct {
	Kind Kind
	// Rest is the rest of the wait that an early caller was told.
	Rest time.Duration
}
