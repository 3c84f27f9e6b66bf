package forward

import (
	"net/http"
	"time"

	"galenatrestle/internal/placement"
	"galenatrestle/internal/ratelimit"
)

// Codec maps the headers of a wire format.
type Codec interface {
	// DecodeCaller decodes the headers of a caller's request.
	DecodeCaller(h http.Header) CallerHeaders
	// EncodeAttempt returns the request headers for a replica: the caller's headers,
	// except hop-by-hop ones and those reserved for this system, and the headers in a.
	EncodeAttempt(caller http.Header, a AttemptHeaders) http.Header
	// DecodeResponse decodes the headers of a replica's response.
	DecodeResponse(h http.Header) ResponseHeaders
	// RemoveStamp removes the replica's stamp from a response that is not
	// forwarded as the replica sent it.
	RemoveStamp(h http.Header)
}

// CallerHeaders are the decoded headers of a caller's request.
type CallerHeaders struct {
	// ID identifies the caller's attempt; each retry by the caller has a new one.
	ID string
	// Key is the caller's API key.
	Key string
	// Timeout is how long the caller waits; zero if not given.
	Timeout time.Duration
	// Prompt describes the prompt of a call to an inference engine.
	Prompt Prompt
	// LastEventID is the last event that the caller received of the stream to
	// resume.
	LastEventID string
	// Resumes is the ID of the caller's attempt that received the first event of the stream to resume;
	// empty if the stream is new or the caller does not tell.
	Resumes string
}

// ResumesStream reports whether the caller resumes a stream that another attempt began.
func (h *CallerHeaders) ResumesStream() bool { return h.LastEventID != "" || h.Resumes != "" }

// Prompt describes a prompt as declared by the caller.
type Prompt struct {
	// Tokens is the prompt's length, MaxAnswerTokens the limit of the response.
	Tokens          int
	MaxAnswerTokens int
	// ExpectedAnswerTokens is the caller's estimate; zero if not given.
	ExpectedAnswerTokens int
	// Parts are the prompt's parts in order; the last is unique to the call.
	Parts []placement.PromptPart
}

// AttemptHeaders are the headers that this system adds to a replica's request.
type AttemptHeaders struct {
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
	// Replica is the ID of the replica that the attempt is meant for.
	Replica string
	// CopyFrom is the address of a replica from which missing cached prompt parts
	// are copied; empty for none.
	CopyFrom string
	// Workspace is the caller's workspace; empty if there is none.
	Workspace string
	// Rank is the call's urgency; 0 is the most urgent.
	Rank int
	// LastEventID is the event after which a stream resumes; empty for its start.
	LastEventID string
}

// ResponseHeaders are the decoded headers of a replica's response.
type ResponseHeaders struct {
	// ID is the CallerHeaders.ID of the call that the response is for; empty if not
	// given.
	ID string
	// Stamped is true if the response has the replica's stamp, a header with which
	// replicas mark their own responses.
	Stamped bool
	// NotExecuted is true if the replica reports that it did not run the call.
	NotExecuted bool
	// Encoded is true if the body has a content encoding, so it is not the bytes
	// that the replica produced.
	Encoded bool
	// RateLimited is true if the replica accepts RateLimit requests per second in
	// total from all nodes.
	RateLimited bool
	RateLimit   float64
	// Leaving is true if the replica reports that it is about to stop.
	Leaving bool
	// Brittle is whether the replica says that refusing many requests ends it.
	Brittle ratelimit.Brittleness
	// RetryAfter is how long the replica asks this node to send it nothing; zero if not
	// given.
	RetryAfter time.Duration
}
