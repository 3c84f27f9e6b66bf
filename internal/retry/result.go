package retry

// Result says how an attempt ended.
type Result string

// The results of an attempt that did not give a whole answer.
const (
	// NotRun is an attempt that certainly did not run.
	NotRun Result = "not_run"
	// Broken is an attempt whose answer ended early.
	Broken Result = "broken"
	// Crashed is an attempt whose connection was lost.
	Crashed Result = "crashed"
	// TimedOut is an attempt that was given up for its silence.
	TimedOut Result = "timed_out"
	// Rejected is an attempt that the upstream answered with an error which
	// another attempt would meet again.
	Rejected Result = "rejected"
)
