package refusal

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Error describes why a request failed without a complete response. Package
// gateway converts it to the HTTP response.
type Error struct {
	Reason  Reason
	Outcome Outcome
	// Message is the sentence shown to the caller.
	Message string
	// Field and Value name the invalid input; empty if the input is not the cause.
	Field string
	Value string
	// RetryAfter is the delay to send to the caller; zero if a retry does not help.
	RetryAfter time.Duration
	// Step names the processing step that failed, such as "admit" or "queue".
	Step string
	// Peer is the remote address, empty if no remote side was involved.
	Peer string
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an Error for a request that certainly did not run.
func New(reason Reason, step, message string) *Error {
	return &Error{Reason: reason, Outcome: NotRun, Step: step, Message: message}
}

// BadField returns a BadRequest error that names the field and its value.
func BadField(field, value, message string) *Error {
	return &Error{
		Reason: BadRequest, Outcome: NotRun, Step: "check",
		Field: field, Value: value, Message: message,
	}
}

// Error formats step, reason, outcome, peer, field and value, message and cause.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s (%s)", e.Step, e.Reason, e.Outcome)
	if e.Peer != "" {
		fmt.Fprintf(&b, " from %s", e.Peer)
	}
	if e.Field != "" {
		fmt.Fprintf(&b, ": field %s value %q", e.Field, e.Value)
	}
	if e.Message != "" {
		fmt.Fprintf(&b, ": %s", e.Message)
	}
	if e.Cause != nil {
		fmt.Fprintf(&b, ": %v", e.Cause)
	}
	return b.String()
}

func (e *Error) Unwrap() error { return e.Cause }

// From returns the *Error in err's chain, or an Internal one with outcome Unknown.
func From(err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}
	return &Error{Reason: Internal, Outcome: Unknown, Step: "unclassified", Cause: err}
}
