package overload

import "time"

// Reason is one entry of the closed list of why a request is turned away.
type Reason string

// The reasons; the empty one admits.
const (
	// TooLate requests would get their first token too late.
	TooLate Reason = "late"
	// MemoryFull requests find no replica with memory for them.
	MemoryFull Reason = "memory_full"
	// MoreUrgentRefused requests came while more urgent ones were turned away.
	MoreUrgentRefused Reason = "more_urgent_refused"
)

// Decision says what becomes of a request.
type Decision struct {
	// Reason is empty for a request that is let in.
	Reason Reason
	// RetryAfter is when the caller of a refused request should come back.
	RetryAfter time.Duration
}

// Refused says whether the request is turned away.
func (v Decision) Refused() bool { return v.Reason != "" }
