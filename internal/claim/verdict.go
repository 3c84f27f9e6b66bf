package claim

// Verdict is the answer to Begin.
type Verdict int

// The verdicts.
const (
	// Run gives the caller the right to send the call once. The claim is
	// durable.
	Run Verdict = iota + 1
	// Recorded returns the answer of the one run.
	Recorded
	// InProgress says that the one run has not ended yet.
	InProgress
	// Unknown says that the call may have run; it never runs again.
	Unknown
)

// String returns the verdict as used in counters.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Recorded:
		return "recorded"
	case InProgress:
		return "in_progress"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}
