package forward

import (
	"net/http"
	"time"

	"galenatrestle/internal/placement"
	"galenatrestle/internal/route"
)

// Call is one checked request of a caller.
type Call struct {
	CallerHeaders
	Route *route.Route
	// Workspace is nil where the route needs no key.
	Workspace *route.Workspace
	// Upstream is the one picked among the route's.
	Upstream string
	// Rank is the call's urgency; 0 is the most urgent.
	Rank int
	// MemoryTokens is what a replica's memory holds; zero: not known.
	MemoryTokens int
	// CopiesPrompts says that a replica can copy cached prompt parts from another.
	CopiesPrompts bool
	// MaxConnections bounds this node's connections to one replica; zero: none.
	MaxConnections int
	Method         string
	// Target is the request line's target as sent.
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Deadline is when an answer is of no more use: the caller's own or the
	// route's, whichever comes first.
	Deadline time.Time
}

// workspace is the workspace's name, empty where there is none.
func (c *Call) workspace() string {
	if c.Workspace == nil {
		return ""
	}
	return c.Workspace.Name
}

// placementRequest is what a choice of a replica needs to know.
func (c *Call) placementRequest() placement.Request {
	r := placement.Request{Class: c.Route.Name, Rank: c.Rank, PromptTokens: c.Prompt.Tokens, MemoryTokens: c.MemoryTokens, CanCopyCache: c.CopiesPrompts, AnswerTokens: c.Prompt.ExpectedAnswerTokens}
	if r.AnswerTokens == 0 {
		r.AnswerTokens = c.Prompt.MaxAnswerTokens
	}
	if n := len(c.Prompt.Parts); n > 1 {
		r.Shared = c.Prompt.Parts[:n-1]
	}
	return r
}
