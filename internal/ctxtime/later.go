package ctxtime

import "time"

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
