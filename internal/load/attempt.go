package load

import "time"

// Attempt is one try at a request.
type Attempt struct {
	Ending Ending
	Status int
	// RequestID is Trestle-Request-Id, empty where no answer came.
	RequestID string
	// NodeAttempts is Trestle-Attempts: how often the system tried.
	NodeAttempts string
	// Outcome, Reason and RetryAfter are a refusal's headers.
	Outcome    string
	Reason     string
	RetryAfter time.Duration
	FirstToken time.Time
	Ended      time.Time
	// Text is the answer, or what came of it.
	Text string
	Err  error
}
