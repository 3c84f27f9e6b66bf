package retry

// Result is how an attempt without a complete answer ended.
type Result string

const (
	// NotRun means that the attempt is known not to have run.
	NotRun Result = "not_run"
	// Broken means that the answer ended early or was malformed, or that the upstream returned
	// an error that a retry may avoid.
	Broken Result = "broken"
	// Crashed means that the connection was lost after the request was sent.
	Crashed Result = "crashed"
	// TimedOut means that the attempt was canceled because the replica did not respond in
	// time.
	TimedOut Result = "timed_out"
	// Rejected means that the upstream returned an error that a retry would not avoid.
	Rejected Result = "rejected"
)
