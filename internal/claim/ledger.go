package claim

import "context"

// Ledger claims unrepeatable calls before the gateway sends them and records their
// outcomes.
type Ledger interface {
	// Begin claims the call. The caller may send it only if the verdict is Run. Every
	// error is a *refusal.Error and means that this request is not sent: ClaimStoreDown
	// if the claim could not be made durable in time, ClaimLedgerFull if the ledger is
	// full, IdempotencyKeyReused if the key was used with different content,
	// IdempotencyKeyRequired or BadRequest for a key that cannot be claimed. The outcome
	// of the refusal is not-run if no earlier request with the key has run either,
	// otherwise unknown.
	Begin(ctx context.Context, key Key, content Fingerprint) (BeginResult, error)
	// Lookup is Begin for a call that may not start now: it returns the result for a
	// repeat of a claimed call and never makes a claim. It returns false if the call is
	// not claimed. Its errors are those of Begin.
	Lookup(ctx context.Context, key Key, content Fingerprint) (BeginResult, bool, error)
	// Finish ends the claim and returns once the outcome is durable. If ctx ends first,
	// it returns an error and the outcome is recorded in the background; the gateway
	// responds to its caller in both cases.
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
