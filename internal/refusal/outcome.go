package refusal

// Outcome says whether a request without a complete response may have run.
type Outcome string

const (
	// NotRun is used only if no upstream that may have run the request received
	// any byte of it.
	NotRun Outcome = "not-run"
	// Unknown is used whenever NotRun cannot be proved.
	Unknown Outcome = "unknown"
)
