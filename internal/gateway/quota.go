package gateway

import (
	"time"

	"galenatrestle/internal/quota"
)

// quotaUse is what a completion has taken of its workspace's quota.
type quotaUse struct {
	server    *Server
	workspace string
	taken     quota.Use
}

// useQuota takes one request and the tokens it will probably use from the
// workspace's quota, or refuses it.
func (s *Server) useQuota(c *call, p *completion) (*quotaUse, error) {
	taken, refused := s.options.Quotas.TakeAnswer(time.Now(), c.workspace.Name, p.promptTokens(), p.maxTokens())
	if refused != nil {
		return nil, refused
	}
	return &quotaUse{server: s, workspace: c.workspace.Name, taken: taken}, nil
}

// useRequest takes one request without tokens from the workspace's quota, or
// refuses it.
func (s *Server) useRequest(c *call) error {
	if refused := s.options.Quotas.Take(time.Now(), c.workspace.Name, 0); refused != nil {
		return refused
	}
	return nil
}

// settle puts the tokens used in place of the estimated ones. What ran nowhere
// used none; its request stays counted, else repeats of it would be free.
func (u *quotaUse) settle(e *exchange) {
	now := time.Now()
	quotas := u.server.options.Quotas
	switch {
	case e.attempts <= e.notRun:
		quotas.Settle(now, u.workspace, u.taken, 0, 0)
	case e.usage != nil:
		quotas.Settle(now, u.workspace, u.taken, float64(e.usage.PromptTokens), float64(e.usage.CompletionTokens))
	case e.completion.opaque:
		// Nothing is known of its tokens: the estimate stands.
	default:
		quotas.Settle(now, u.workspace, u.taken, u.taken.Prompt, float64(e.tokens))
	}
}
