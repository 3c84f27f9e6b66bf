package overload

import "time"

// Reason is one entry of the closed list of why a request is turned away.
type Reason string

// The reasons; the empty one admits.
const (
	// Late requests would get their first token too late.
	Late Reason = "late"
	// MemoryFull requests find no replica with memory for them.
	MemoryFull Reason = "memory_full"
	// MoreUrgentRefused requests came while more urgent ones were turned away.
	MoreUrgentRefused Reason = "more_urgent_refused"
)

// Verdict says what becomes of a request.
type Verdict struct {
	// Reason is empty for a request that is let in.
	Reason Reason
	// RetryAfter is when the caller of a refused request should come back.
	RetryAfter time.Duration
}

// Refused says whether the request is turned away.
func (v Verdict) Refused() bool { return v.Reason != "" }
