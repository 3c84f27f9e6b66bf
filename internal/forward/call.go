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
	// Rank is the call's urgency; 0 is the most urgent.
	Rank int
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

func (c *Call) newPlacementRequest() placement.Request {
	r := placement.Request{Class: c.Route.Name, Rank: c.Rank, PromptTokens: c.Prompt.Tokens, MemoryTokens: c.MemoryTokens, CanCopyCache: c.CanCopyCache, AnswerTokens: c.Prompt.ExpectedAnswerTokens}
	if r.AnswerTokens == 0 {
		r.AnswerTokens = c.Prompt.MaxAnswerTokens
	}
	if n := len(c.Prompt.Parts); n > 1 {
		r.Shared = c.Prompt.Parts[:n-1]
	}
	return r
}
