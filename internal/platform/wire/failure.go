package wire

import (
	"errors"
	"fmt"
	"net/http"

	"galenatrestle/internal/platform"
)

// Code names a failure that the platform answered. There is none for
// platform.ErrUnavailable: then no answer comes.
type Code string

// The codes.
const (
	CodeNotFound    Code = "not_found"
	CodeRateLimited Code = "rate_limited"
	CodeTooLarge    Code = "too_large"
	CodeConflict    Code = "conflict"
	CodeHeld        Code = "held"
	CodeBadRequest  Code = "bad_request"
)

// Failure is the body of an answer that is not 200.
type Failure struct {
	Code    Code            `json:"code"`
	Message string          `json:"message,omitempty"`
	Expect  int64           `json:"expect,omitempty"`
	Current *platform.Entry `json:"current,omitempty"`
	Lease   *Lease          `json:"lease,omitempty"`
}

// ErrBadRequest says that the platform did not understand the call and did
// nothing.
var ErrBadRequest = errors.New("platform: bad request")

// sentinels are the errors that a code alone tells.
var sentinels = map[Code]error{
	CodeNotFound:    platform.ErrNotFound,
	CodeRateLimited: platform.ErrRateLimited,
	CodeTooLarge:    platform.ErrTooLarge,
}

// FromError returns the failure that tells err.
func FromError(err error) Failure {
	var conflict *platform.ConflictError
	var held *platform.HeldError
	switch {
	case errors.As(err, &conflict):
		return Failure{Code: CodeConflict, Expect: conflict.Expect, Current: &conflict.Current}
	case errors.As(err, &held):
		lease := FromLease(held.Current)
		return Failure{Code: CodeHeld, Lease: &lease}
	}
	for code, sentinel := range sentinels {
		if errors.Is(err, sentinel) {
			return Failure{Code: code}
		}
	}
	return Failure{Code: CodeBadRequest, Message: err.Error()}
}

// Status returns the HTTP status of the failure.
func (f Failure) Status() int {
	switch f.Code {
	case CodeNotFound:
		return http.StatusNotFound
	case CodeRateLimited:
		return http.StatusTooManyRequests
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeConflict, CodeHeld:
		return http.StatusConflict
	default:
		return http.StatusBadRequest
	}
}

// Err returns the error that the failure tells. A failure that makes no sense
// counts as no answer: platform.ErrUnavailable.
func (f Failure) Err() error {
	if sentinel, ok := sentinels[f.Code]; ok {
		return sentinel
	}
	switch {
	case f.Code == CodeConflict && f.Current != nil:
		return &platform.ConflictError{Key: f.Current.Key, Expect: f.Expect, Current: *f.Current}
	case f.Code == CodeHeld && f.Lease != nil:
		return &platform.HeldError{Current: f.Lease.Platform()}
	case f.Code == CodeBadRequest:
		return fmt.Errorf("%w: %s", ErrBadRequest, f.Message)
	default:
		return fmt.Errorf("%w: failure code %q is not whole", platform.ErrUnavailable, f.Code)
	}
}
