package forward

import (
	"fmt"
	"net/http"
	"time"

	"galenatrestle/internal/placement"
)

// Failure is why an attempt brought no whole answer.
type Failure struct {
	// Result is how the replica is judged for it.
	Result placement.Result
	// NotRun says that the replica certainly did not run the call.
	NotRun bool
	// ReachedReplica says that the replica got the call, which counts as load there.
	ReachedReplica bool
	// RetryReserved says that the retry budget has given an attempt in its place.
	RetryReserved bool
	// Step and Peer are where it arose.
	Step string
	Peer string
	// Status, Header and Body are the replica's own failure, to be passed on if
	// no further attempt is made; Status is zero where it gave none.
	Status int
	Header http.Header
	Body   []byte
	Cause  error
	// RetryAfter is when a caller whose call was not run should come back; zero: at
	// the usual time.
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return fmt.Sprintf("%s at %s: status %d", f.Step, f.Peer, f.Status)
	}
	return fmt.Sprintf("%s at %s: %v", f.Step, f.Peer, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }
