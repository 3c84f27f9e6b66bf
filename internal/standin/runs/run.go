package runs

import "time"

// Run is one request that an upstream truly began.
type Run struct {
	// Sequence counts the stand-in's runs from 1.
	Sequence int64 `json:"sequence"`
	// RequestID is the X-Request-Id header, empty where there was none.
	RequestID string `json:"request_id,omitempty"`
	// IdempotencyKey is the Idempotency-Key header.
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Method         string    `json:"method,omitempty"`
	Path           string    `json:"path,omitempty"`
	Started        time.Time `json:"started"`
	FirstToken     time.Time `json:"first_token,omitzero"`
	// Ended is zero while it runs.
	Ended time.Time `json:"ended,omitzero"`
	// Completed says that the whole answer was made.
	Completed bool `json:"completed"`
	// Cancelled says that the other side gave it up.
	Cancelled bool `json:"cancelled,omitempty"`
	// Crashed says that a fault broke it.
	Crashed bool `json:"crashed,omitempty"`
	// Tokens is the number made.
	Tokens int `json:"tokens"`
}
