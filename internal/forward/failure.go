package forward

import (
	"fmt"
	"net/http"
	"time"

	"galenatrestle/internal/placement"
)

// Failure describes why an attempt did not complete.
type Failure struct {
	// Result is the result reported to placement for the replica.
	Result placement.Result
	// NotRun is true if the replica certainly did not run the call.
	NotRun bool
	// ReachedReplica is true if the request was sent, which adds load to the replica.
	ReachedReplica bool
	// Step is the processing step that failed.
	Step string
	// Peer is the replica's address, or the upstream's name if no replica was chosen.
	Peer string
	// Status, Header and Body are the replica's error response, forwarded if no retry
	// follows; Status is zero if there was none.
	Status int
	Header http.Header
	Body   []byte
	Cause  error
	// RetryAfter is the delay reported to the caller if the call did not run; zero
	// for the default.
	RetryAfter time.Duration
}

func (f *Failure) Error() string {
	if f.Cause == nil {
		return fmt.Sprintf("%s at %s: status %d", f.Step, f.Peer, f.Status)
	}
	return fmt.Sprintf("%s at %s: %v", f.Step, f.Peer, f.Cause)
}

func (f *Failure) Unwrap() error { return f.Cause }
