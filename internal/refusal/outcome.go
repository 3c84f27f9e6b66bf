package refusal

// Outcome says what is known about a request that got no whole answer.
type Outcome string

const (
	// NotRun is said only where it is proved that no byte of the request
	// was handed to an upstream that may have run it.
	NotRun Outcome = "not-run"
	// Unknown is said wherever NotRun cannot be proved.
	Unknown Outcome = "unknown"
)
