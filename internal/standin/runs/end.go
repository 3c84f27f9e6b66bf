package runs

// End is how a run ended; at most one of the three is true.
type End struct {
	Completed bool
	Cancelled bool
	Crashed   bool
	// Tokens is the number made.
	Tokens int
}
