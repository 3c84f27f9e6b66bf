package overload

import "time"

// Reason is why a request is refused.
type Reason string

// The reasons. The empty reason means that the request is admitted.
const (
	// TooLate means that the expected queue time is too long for the objective or the deadline.
	TooLate Reason = "late"
	// MemoryFull means that the chosen replica does not have enough memory.
	MemoryFull Reason = "memory_full"
	// AboveShare means that the expected queue time is too long for a workspace above its share; others
	// would have been admitted.
	AboveShare Reason = "above_share"
	// MoreUrgentRefused means that a more urgent request was refused shortly before.
	MoreUrgentRefused Reason = "more_urgent_refused"
)

// Decision is the result of Gate.Decide.
type Decision struct {
	// Reason is empty for an admitted request.
	Reason Reason
	// RetryAfter is how long the caller of a refused request should wait.
	RetryAfter time.Duration
}

// Refused reports whether the request is refused.
func (d Decision) Refused() bool { return d.Reason != "" }
