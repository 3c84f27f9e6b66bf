package upstream

import (
	"errors"
	"fmt"
)

// Error is a failed call of an upstream.
type Error struct {
	Kind Kind
	// Step names where the call failed: "encode", "dial", "send", "status" or
	// "read".
	Step string
	// Peer is the upstream's address.
	Peer string
	// Status is the HTTP status, zero where none arrived.
	Status int
	// Code is the error code in the upstream's answer, where there is one.
	Code string
	// Cause is the underlying error, or nil.
	Cause error
}

// Error implements error: step, peer, kind, status and code, cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("upstream %s: %s: %s", e.Peer, e.Step, e.Kind)
	if e.Status != 0 {
		text += fmt.Sprintf(" status %d", e.Status)
	}
	if e.Code != "" {
		text += " code " + e.Code
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of the *Error inside err, or Broken where there is
// none: nothing is known then, so nothing may be claimed.
func KindOf(err error) Kind {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Kind
	}
	return Broken
}
