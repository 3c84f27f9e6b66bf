package budget

import (
	"fmt"
	"time"
)

// Reach is what the last call to the platform came to.
type Reach struct {
	At time.Time
	// Result is "ok" or the result that the counters have.
	Result string
}

// Reach returns what the last call of any duty came to, nil before the first.
// It costs the platform nothing.
func (c *Counters) Reach() *Reach { return c.reach.Load() }

// Tell says in an operator's words whether the platform answered. A nil Reach
// is a node that has not called yet.
func (r *Reach) Tell(now time.Time) string {
	if r == nil {
		return "not called yet"
	}
	ago := now.Sub(r.At).Round(time.Second)
	switch r.Result {
	case resultUnavailable, resultOther, resultRateLimited:
		return fmt.Sprintf("%s %s ago", r.Result, ago)
	}
	return fmt.Sprintf("up %s ago", ago)
}
