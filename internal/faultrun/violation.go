package faultrun

import (
	"net/http"

	"galenatrestle/internal/load"
)

// Violation is a broken promise.
type Violation struct {
	Promise string
	Detail  string
	// Try is the request's, nil where none is meant.
	Try *Try
	// RequestID names the request where it has no Try.
	RequestID string
	// Story is what the request's node tells of it.
	Story []string
}

// The promises.
const (
	promiseWhole         = "each caller receives the whole answer to its own request"
	promiseTier          = "a higher tier is never shed to serve a lower one"
	promiseServed        = "every class eventually gets served"
	promiseNotRun        = "what is said to be not run was not run"
	promiseOnce          = "a call that may not be repeated runs at most once"
	promiseLeaving       = "an upstream that is leaving receives no new work"
	promiseStop          = "a planned stop cuts no request"
	promiseConfiguration = "an accepted configuration is in force everywhere and never reverts"
	promiseTime          = "no request waits past its give-up time"
)

func violation(promise string, t *Try, detail string) Violation {
	return Violation{Promise: promise, Detail: detail, Try: t}
}

// requestID returns the id of the request meant, or "".
func (v Violation) requestID() string {
	if v.Try != nil {
		return v.Try.RequestID
	}
	return v.RequestID
}

// answered says whether the try got the whole right answer.
func (t *Try) answered(seed uint64) bool {
	return t.Ending == load.EndingWhole && load.Wrong(&t.Offer.Request, t.Before+t.Text, seed) == ""
}

// relayed says whether the refusal is the plain service's own answer, which is
// handed on as it is.
func (t *Try) relayed() bool {
	return t.Offer.Stream.Service != nil && t.Status == http.StatusServiceUnavailable && t.NodeAttempts != ""
}
