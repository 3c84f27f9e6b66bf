package upstream

// Kind classifies a failed call by what is known of it.
type Kind string

// The kinds of failure.
const (
	// NotRun says that the upstream certainly ran nothing: no connection was
	// obtained, or an engine said itself that it had refused before running.
	NotRun Kind = "not_run"
	// Refused says that the upstream answered with an error of its own.
	Refused Kind = "refused"
	// Broken says that the answer ended early or was malformed, while the
	// connection was closed in good order.
	Broken Kind = "broken"
	// Crashed says that the connection was lost after the request was handed
	// over, as when the upstream's process dies.
	Crashed Kind = "crashed"
	// Timeout says that the context's deadline or the stall timeout passed.
	Timeout Kind = "timeout"
	// Cancelled says that the context was cancelled.
	Cancelled Kind = "cancelled"
)
