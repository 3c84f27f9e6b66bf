package refusal

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Error is a request's final refusal. It is returned by every step that can
// give up a request and is turned into the response by package gateway.
type Error struct {
	Reason  Reason
	Outcome Outcome
	// Message is the sentence for the caller.
	Message string
	// Field and Value name the offending input, where there is one.
	Field string
	Value string
	// RetryAfter is zero where a retry does not help.
	RetryAfter time.Duration
	// Step names where the refusal arose, such as "admit" or "queue".
	Step string
	// Peer is the address of the other side, empty where none took part.
	Peer string
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns a refusal of a request that was certainly not run.
func New(reason Reason, step, message string) *Error {
	return &Error{Reason: reason, Outcome: NotRun, Step: step, Message: message}
}

// BadField returns a BadRequest refusal that names the field and its value.
func BadField(field, value, message string) *Error {
	return &Error{
		Reason: BadRequest, Outcome: NotRun, Step: "check",
		Field: field, Value: value, Message: message,
	}
}

// Error implements error: step, peer, reason, field and value, message, cause.
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

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// From returns the refusal inside err, or an Internal one with outcome Unknown.
func From(err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}
	return &Error{Reason: Internal, Outcome: Unknown, Step: "unclassified", Cause: err}
}
