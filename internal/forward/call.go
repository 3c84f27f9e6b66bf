package forward

import (
	"net/http"
	"time"

	"galenatrestle/internal/placement"
	"galenatrestle/internal/route"
)

// Call is one validated request of a caller.
type Call struct {
	CallerHeaders
	Route *route.Route
	// Workspace is nil where the route needs no key.
	Workspace *route.Workspace
	// Upstream is the one selected from the route's upstreams.
	Upstream string
	// StreamVersion is the software version at which the stream began that the caller resumes; nil: the
	// stream is new.
	StreamVersion *string
	// Rank is the call's urgency; 0 is the most urgent.
	Rank int
	// Ranks is the number of ranks that calls of the upstream may have; zero if unknown.
	Ranks int
	// MemoryTokens is a replica's memory capacity in tokens; zero if unknown.
	MemoryTokens int
	// CanCopyCache is true if replicas can copy cached prompt parts from each other.
	CanCopyCache bool
	// MaxConnections limits this node's connections to one replica; zero for no limit.
	MaxConnections int
	Method         string
	// Target is the request target exactly as the caller sent it.
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Deadline is the earlier of the caller's and the route's deadline.
	Deadline time.Time
}

func (c *Call) workspace() string {
	if c.Workspace == nil {
		return ""
	}
	return c.Workspace.Name
}

// StreamAttempt returns the ID of the caller's attempt that receives, or has received, the stream's first
// event; empty if the caller does not tell it.
func (c *Call) StreamAttempt() string {
	if c.ResumesStream() {
		return c.Resumes
	}
	return c.ID
}

// Patience returns how long the caller may go on to try, from now on.
func (c *Call) Patience() time.Duration {
	return max(time.Until(c.Deadline), time.Until(c.Arrived.Add(c.Timeout)))
}

func (c *Call) newPlacementRequest() placement.Request {
	r := placement.Request{
		Class: c.Route.Name, Rank: c.Rank, Version: c.StreamVersion, Undecided: true,
		PromptTokens: c.Prompt.Tokens, AnswerTokens: c.Prompt.ExpectedAnswerTokens, MemoryTokens: c.MemoryTokens,
		CanCopyCache: c.CanCopyCache, Bytes: len(c.Body),
		Objective: c.Route.Objective, MaxPause: c.Route.MaxPause,
	}
	if r.AnswerTokens == 0 {
		r.AnswerTokens = c.Prompt.MaxAnswerTokens
	}
	if n := len(c.Prompt.Parts); n > 1 {
		r.Shared = c.Prompt.Parts[:n-1]
	}
	return r
}
