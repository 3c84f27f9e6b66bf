package claim

import (
	"context"

	"galenatrestle/internal/refusal"
)

// Lookup implements Ledger. It costs no write to the platform.
func (n *Node) Lookup(ctx context.Context, key Key, content Fingerprint) (BeginResult, bool, error) {
	if refused := key.Check(); refused != nil {
		return BeginResult{}, false, refused
	}
	request := n.newRequest(key, content)
	request.KnownOnly = true
	within, cancel := context.WithTimeout(ctx, n.options.BeginTimeout)
	defer cancel()
	reply, err := n.settleBegin(within, request)
	if err != nil {
		return BeginResult{}, false, gaveUp(ctx, err)
	}
	switch {
	case reply.Refused == refusal.QuotaExceeded:
		return BeginResult{}, false, nil
	case reply.Refused != "":
		return BeginResult{}, false, refusedBy(reply.Refused, key)
	case reply.Verdict == Run:
		// A holder of an earlier version does not know of KnownOnly.
		n.abandon(request)
		return BeginResult{}, false, nil
	}
	n.metrics.verdicts.WithLabelValues(reply.Verdict.String()).Inc()
	return BeginResult{Verdict: reply.Verdict, Answer: reply.Answer}, true, nil
}
