package budget

import (
	"time"

	"golang.org/x/time/rate"
)

// Config is the budget of one duty.
type Config struct {
	// Duty is the name in the counters, such as "claims".
	Duty string
	// PerSecond is the rate of calls.
	PerSecond rate.Limit
	// Burst is the number of calls that may come at once; at least 1.
	Burst int
	// MaxWait is how long a call may wait for its turn; a call that would wait
	// longer, or past its context's deadline, is refused at once with
	// platform.ErrRateLimited.
	MaxWait time.Duration
}
