package gateway

import (
	"context"

	"galenatrestle/internal/claim"
	"galenatrestle/internal/refusal"
)

// noLedger refuses every unrepeatable call: it stands in for the ledger on a
// node that has no platform.
type noLedger struct{}

// Begin implements claim.Ledger.
func (noLedger) Begin(context.Context, claim.Key, claim.Fingerprint) (claim.BeginResult, error) {
	refused := refusal.New(refusal.ClaimStoreDown, "claim", "this node has no platform to record the call in")
	// Another node may have one, and have run an earlier request of the key.
	refused.Outcome = refusal.Unknown
	return claim.BeginResult{}, refused
}

// Lookup implements claim.Ledger; nothing was ever claimed.
func (noLedger) Lookup(context.Context, claim.Key, claim.Fingerprint) (claim.BeginResult, bool, error) {
	return claim.BeginResult{}, false, nil
}

// Finish implements claim.Ledger; nothing was ever begun.
func (noLedger) Finish(context.Context, claim.Token, claim.Outcome) error { return nil }
