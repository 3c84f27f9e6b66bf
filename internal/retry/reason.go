package retry

// Reason is why an attempt was added. The set of reasons is fixed.
type Reason string

// Reasons for adding an attempt.
const (
	ReasonNotRun       Reason = "not_run"
	ReasonBroken       Reason = "broken_before_answer"
	ReasonBrokenAnswer Reason = "broken_in_answer"
	ReasonCrashed      Reason = "crashed"
	ReasonTimedOut     Reason = "timed_out"
	ReasonHedge        Reason = "hedge"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{
		ReasonNotRun, ReasonBroken, ReasonBrokenAnswer,
		ReasonCrashed, ReasonTimedOut, ReasonHedge,
	}
}

func reasonOf(a Attempt) Reason {
	switch a.Result {
	case NotRun:
		return ReasonNotRun
	case Crashed:
		return ReasonCrashed
	case TimedOut:
		return ReasonTimedOut
	default:
		if a.DeliveredTokens > 0 {
			return ReasonBrokenAnswer
		}
		return ReasonBroken
	}
}
