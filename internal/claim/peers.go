package claim

import (
	"context"

	"github.com/google/uuid"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/refusal"
)

// BeginRequest is a Begin as it goes to the shard's holder.
type BeginRequest struct {
	Key             Key
	CallFingerprint Fingerprint
	Attempt         uuid.UUID
	Node            string
	Boot            uuid.UUID
	// KnownOnly asks what is known of the claim and makes none: the answer is
	// then QuotaExceeded.
	KnownOnly bool
}

// BeginReply is the answer of the node asked: a verdict or a refusal.
type BeginReply struct {
	Verdict Verdict
	Answer  Answer
	// Refused is why nothing was claimed.
	Refused refusal.Reason
	// NotHolder says that the receiver does not hold the shard; Hint tells who
	// does. A verdict is then what it remembers of an earlier term, to be told
	// only where no holder can be asked.
	NotHolder bool
	Hint      Hint
}

// orElse returns the reply, or the other where this one says nothing.
func (r BeginReply) orElse(other BeginReply) BeginReply {
	if r.Verdict == 0 && r.Refused == "" {
		return other
	}
	return r
}

// FinishRequest is a Finish as it goes to the shard's holder.
type FinishRequest struct {
	Key     Key
	Attempt uuid.UUID
	Phase   claimv1.Phase
	Answer  *claimv1.Answer
}

// FinishReply is the holder's answer.
type FinishReply struct {
	// NotHolder says that the receiver does not hold the shard; Hint tells who
	// does.
	NotHolder bool
	Hint      Hint
}

// Peers calls other nodes by their peer address.
type Peers interface {
	// Begin forwards a claim; after an error it may or may not have been made.
	Begin(ctx context.Context, address string, request BeginRequest) (BeginReply, error)
	// Finish forwards an outcome; after an error it may or may not be durable.
	Finish(ctx context.Context, address string, request FinishRequest) (FinishReply, error)
}
