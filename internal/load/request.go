package load

import "time"

// Request is one planned request.
type Request struct {
	// Name is unique in the run.
	Name string
	// IdempotencyKey is sent with calls that may not be repeated.
	IdempotencyKey string
	// At is when it is sent, from the start of the run.
	At time.Duration
	// Stream says who sends it and how.
	Stream *Stream
	// Prefix is the shared beginning, empty where there is none.
	Prefix string
	// Prompt is the last user message, or the body of a service call.
	Prompt string
	// MaxTokens is zero where none is sent.
	MaxTokens int
	// Stated is the outcome a replayed trace says it must have.
	Stated string
	// Within is the time to the answer for the stated outcome on-target.
	Within time.Duration
}
