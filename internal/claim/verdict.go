package claim

// Verdict is the ledger's decision on a Begin.
type Verdict int

const (
	// Run allows the caller to send the call once. The claim is durable.
	Run Verdict = iota + 1
	// Recorded means that the call has run; its recorded answer is returned.
	Recorded
	// InProgress means that the call has been claimed and has not finished yet.
	InProgress
	// Unknown means that the call may have run; it is never run again.
	Unknown
)

// String returns the verdict as used in metric labels.
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
