package claim

import "context"

// Ledger is what the gateway needs: it asks before it sends an unrepeatable
// call, and tells how the call ended.
type Ledger interface {
	// Begin claims the call. Every error is a *refusal.Error. This request is
	// then not sent; its outcome is not-run where no earlier request of the
	// key has run either, else unknown: ClaimStoreDown when the claim could
	// not be made durable in time, ClaimLedgerFull when the ledger is full, IdempotencyKeyReused when the key
	// was used with another content, IdempotencyKeyRequired or BadRequest for a key
	// that cannot be claimed. Nothing may be sent unless the verdict is Run.
	Begin(ctx context.Context, key Key, content Fingerprint) (BeginResult, error)
	// Lookup is Begin for a call that may not start now: it answers a repeat of
	// a claimed call and claims nothing. It returns false where the call is not
	// claimed. Its errors are those of Begin.
	Lookup(ctx context.Context, key Key, content Fingerprint) (BeginResult, bool, error)
	// Finish ends the claim and returns once the outcome is durable. When ctx
	// ends first it returns the context's error, and the outcome is recorded
	// in the background. The gateway answers its caller either way.
	Finish(ctx context.Context, token Token, outcome Outcome) error
}

// Steps named in errors.
const (
	stepCheck    = "check"
	stepClaim    = "claim"
	stepRecord   = "record"
	stepTakeOver = "take over"
	stepForward  = "forward"
)
