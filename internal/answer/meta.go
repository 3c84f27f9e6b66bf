package answer

import "time"

// Meta names a new answer.
type Meta struct {
	// ID is the request id, as of NewRequestID.
	ID        string
	Workspace string
	Upstream  string
	Streamed  bool
	// Retention is how long the answer is kept after its end.
	Retention time.Duration
}
