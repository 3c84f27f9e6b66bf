package quarantine

// Verdict is the decision on how a request may run.
type Verdict string

// The verdicts.
const (
	// Normal requests run anywhere.
	Normal Verdict = "normal"
	// RunAlone requests are suspects: each runs at most once at a time, on a
	// replica without another suspect.
	RunAlone Verdict = "run_alone"
	// Trial requests have been quarantined. One of them may run at a time, and it is not
	// retried after a crash.
	Trial Verdict = "trial"
	// Refuse requests are quarantined.
	Refuse Verdict = "refuse"
)
