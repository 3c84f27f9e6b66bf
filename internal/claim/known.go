package claim

import (
	"context"

	"galenatrestle/internal/refusal"
)

// Lookup implements Ledger. It does not write to the platform.
func (n *Node) Lookup(ctx context.Context, key Key, content Fingerprint) (BeginResult, bool, error) {
	if refused := key.Check(); refused != nil {
		return BeginResult{}, false, refused
	}
	request := n.newRequest(key, content)
	request.KnownOnly = true
	lookupCtx, cancel := n.boundBegin(ctx)
	defer cancel()
	reply, err := n.retryBegin(lookupCtx, request)
	if err != nil {
		return BeginResult{}, false, undecidedRefusal(ctx, err)
	}
	switch {
	case reply.Refused == refusal.QuotaExceeded:
		return BeginResult{}, false, nil
	case reply.Refused != "":
		return BeginResult{}, false, holderRefusal(reply.Refused, key)
	case reply.Verdict == Run:
		// A holder of an earlier version ignores KnownOnly.
		n.abandon(request)
		return BeginResult{}, false, nil
	}
	n.metrics.verdicts.WithLabelValues(reply.Verdict.String()).Inc()
	return BeginResult{Verdict: reply.Verdict, Answer: reply.Answer}, true, nil
}
