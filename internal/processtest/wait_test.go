package processtest

import "time"

const (
	// waitLimit ends a wait for what should have happened; no verdict depends on
	// it otherwise.
	waitLimit = 45 * time.Second
	// pollInterval is the pause between two looks.
	pollInterval = 20 * time.Millisecond
)

// waitUntil looks until the condition holds; it returns false where that took
// longer than the limit.
func waitUntil(holds func() bool) bool {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); <-poll.C {
		if holds() {
			return true
		}
	}
	return holds()
}
