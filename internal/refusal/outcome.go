package refusal

// Outcome says whether a request without a complete response may have run.
type Outcome string

const (
	// NotRun is used only if every upstream that received any byte of the request
	// is known not to have run it.
	NotRun Outcome = "not-run"
	// Unknown is used whenever NotRun cannot be proved.
	Unknown Outcome = "unknown"
)
