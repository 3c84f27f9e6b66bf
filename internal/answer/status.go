package answer

import "galenatrestle/internal/refusal"

// Status is an answer's state without its events.
type Status struct {
	State State
	// Streamed says whether the events are those of a stream; else there is
	// one event, the whole body.
	Streamed    bool
	HTTPStatus  int
	ContentType string
	Upstream    string
	// Attempts is the number of the latest attempt.
	Attempts int
	// Refusal is set for a failed answer.
	Refusal *refusal.Error
}
