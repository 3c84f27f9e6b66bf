package crashcause

import "time"

// Verdict is the decision on how a call may run.
type Verdict string

// The verdicts.
const (
	// Normal calls run anywhere.
	Normal Verdict = "normal"
	// Trial calls have a cause whose time is over, and show whether it still is one. One of them runs at a
	// time.
	Trial Verdict = "trial"
	// Refuse calls crash replicas.
	Refuse Verdict = "refuse"
)

// Decision is a verdict and what it is based on.
type Decision struct {
	Verdict Verdict
	// Factor is the cause that the call has or may have; zero for Normal.
	Factor Factor
	// Left is how long calls with the cause are refused.
	Left time.Duration
}
