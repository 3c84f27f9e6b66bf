package claim

import (
	"context"

	"github.com/google/uuid"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/refusal"
)

// BeginRequest is a Begin sent to the shard's holder.
type BeginRequest struct {
	Key             Key
	CallFingerprint Fingerprint
	Attempt         uuid.UUID
	Node            string
	Boot            uuid.UUID
	// KnownOnly requests the existing claim without making a new one. If there is none,
	// the reply is refused with QuotaExceeded.
	KnownOnly bool
}

// BeginReply is the reply to a BeginRequest: a verdict or a refusal.
type BeginReply struct {
	Verdict Verdict
	Answer  Answer
	// Refused is the reason why no claim was made.
	Refused refusal.Reason
	// NotHolder reports that the receiver does not hold the shard; Hint names the
	// holder. A verdict then reflects an earlier term and may be used only if no holder
	// can be reached.
	NotHolder bool
	Hint      Hint
}

// orElse returns the reply, or other if the reply has neither verdict nor refusal.
func (r BeginReply) orElse(other BeginReply) BeginReply {
	if r.Verdict == 0 && r.Refused == "" {
		return other
	}
	return r
}

// FinishRequest is a Finish sent to the shard's holder.
type FinishRequest struct {
	Key     Key
	Attempt uuid.UUID
	Phase   claimv1.Phase
	Answer  *claimv1.Answer
}

// FinishReply is the reply to a FinishRequest.
type FinishReply struct {
	// NotHolder reports that the receiver does not hold the shard; Hint names the
	// holder.
	NotHolder bool
	Hint      Hint
}

// Peers sends requests to other nodes by their peer address.
type Peers interface {
	// Begin forwards a claim. After an error it may or may not have been made.
	Begin(ctx context.Context, address string, request BeginRequest) (BeginReply, error)
	// Finish forwards an outcome. After an error it may or may not be durable.
	Finish(ctx context.Context, address string, request FinishRequest) (FinishReply, error)
}
