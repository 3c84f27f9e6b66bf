package forward

import (
	"net/http"
	"time"

	"galenatrestle/internal/placement"
)

// Codec names the headers of a wire format.
type Codec interface {
	// DecodeCaller decodes what a caller's headers say.
	DecodeCaller(h http.Header) CallerHeaders
	// EncodeAttempt returns the headers that go to a replica: the caller's, but for
	// those of its connection and those that are the system's to set.
	EncodeAttempt(caller http.Header, a AttemptHeaders) http.Header
	// DecodeResponse decodes what a replica's headers say.
	DecodeResponse(h http.Header) ResponseHeaders
	// RemoveStamp removes the replica's mark from the headers of an answer
	// that is not passed on as the replica gave it.
	RemoveStamp(h http.Header)
}

// CallerHeaders is what a caller's headers say.
type CallerHeaders struct {
	// ID names the caller's attempt; each of its retries has a new one.
	ID string
	// Key is the caller's credential.
	Key string
	// Timeout is how long the caller waits; zero where it does not say.
	Timeout time.Duration
	// Prompt describes a call of an engine.
	Prompt Prompt
	// LastEventID is the last event that the caller has of a stream it resumes.
	LastEventID string
}

// Prompt is what a caller says of its prompt.
type Prompt struct {
	// Tokens is the prompt's length, MaxAnswerTokens the answer's largest one.
	Tokens          int
	MaxAnswerTokens int
	// ExpectedAnswerTokens is the caller's estimate of the answer's length; zero: none.
	ExpectedAnswerTokens int
	// Parts are the prompt's parts in order; the last is the call's own.
	Parts []placement.PromptPart
}

// AttemptHeaders is what the system tells a replica.
type AttemptHeaders struct {
	// Remaining is the time until the answer is of no more use.
	Remaining time.Duration
	// Replica is the identity that the attempt is meant for.
	Replica string
	// CopyFrom is the address of a replica from which the one asked copies what it
	// lacks of the prompt; empty: none.
	CopyFrom string
	// Workspace is the name of the caller's workspace; empty: none.
	Workspace string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// LastEventID resumes a stream behind this event; empty: from its start.
	LastEventID string
}

// ResponseHeaders is what a replica's headers say.
type ResponseHeaders struct {
	// ID is the attempt that is answered; empty where the replica does not say.
	ID string
	// Stamped says that the answer bears the replica's mark.
	Stamped bool
	// NotExecuted says that the replica did not run the call.
	NotExecuted bool
	// Encoded says that the body is not the replica's own bytes.
	Encoded bool
	// RateLimited says that the replica takes RateLimit requests a second from all nodes
	// together.
	RateLimited bool
	RateLimit   float64
}
