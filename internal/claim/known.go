package claim

import (
	"context"

	"galenatrestle/internal/refusal"
)

// Known implements Ledger. It costs no write to the platform.
func (n *Node) Known(ctx context.Context, key Key, content Fingerprint) (Grant, bool, error) {
	if refused := key.Check(); refused != nil {
		return Grant{}, false, refused
	}
	request := n.newRequest(key, content)
	request.KnownOnly = true
	within, cancel := context.WithTimeout(ctx, n.options.BeginTimeout)
	defer cancel()
	reply, err := n.settleBegin(within, request)
	if err != nil {
		return Grant{}, false, gaveUp(ctx, err)
	}
	switch {
	case reply.Refused == refusal.QuotaExceeded:
		return Grant{}, false, nil
	case reply.Refused != "":
		return Grant{}, false, refusedBy(reply.Refused, key)
	case reply.Verdict == Run:
		// A holder of an earlier version does not know of KnownOnly.
		n.abandon(request)
		return Grant{}, false, nil
	}
	n.metrics.verdicts.WithLabelValues(reply.Verdict.String()).Inc()
	return Grant{Verdict: reply.Verdict, Answer: reply.Answer}, true, nil
}
