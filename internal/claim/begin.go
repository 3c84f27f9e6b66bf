package claim

import (
	"bytes"
	"time"

	"github.com/google/uuid"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/refusal"
)

// BeginCommand claims a call for one attempt. It is idempotent per Attempt.
type BeginCommand struct {
	Key             Key
	CallFingerprint Fingerprint
	Attempt         uuid.UUID
	// Node and Boot identify the process that will send the call.
	Node string
	Boot uuid.UUID
	Now  time.Time
	// RefuseNew is the reason to refuse a new claim; empty if new claims are allowed.
	RefuseNew refusal.Reason
	// ProcessEnded reports whether a process is known to have ended.
	ProcessEnded func(node string, boot uuid.UUID) bool
}

func (c BeginCommand) apply(state *claimv1.Record) (*claimv1.Record, Decision) {
	switch state.GetPhase() {
	case claimv1.Phase_PHASE_UNSPECIFIED:
		return c.newClaim(state)
	case claimv1.Phase_PHASE_RELEASED:
		if c.owns(state) {
			// A delayed duplicate of an abandoned attempt.
			return state, Decision{Refused: refusal.ClaimStoreDown}
		}
		return c.newClaim(state)
	}
	if !c.CallFingerprint.matches(state.GetFingerprint()) {
		return state, Decision{Refused: refusal.IdempotencyKeyReused}
	}
	switch state.GetPhase() {
	case claimv1.Phase_PHASE_IN_PROGRESS:
		return c.decideInProgress(state)
	case claimv1.Phase_PHASE_RECORDED:
		return state, Decision{Verdict: Recorded, Answer: state.GetAnswer()}
	}
	return state, Decision{Verdict: Unknown}
}

func (c BeginCommand) newClaim(state *claimv1.Record) (*claimv1.Record, Decision) {
	if c.RefuseNew != "" {
		return state, Decision{Refused: c.RefuseNew}
	}
	next := &claimv1.Record{
		Key:         KeyToProto(c.Key),
		Phase:       claimv1.Phase_PHASE_IN_PROGRESS,
		Fingerprint: c.CallFingerprint[:],
		Attempt:     c.Attempt[:],
		Node:        c.Node,
		Boot:        c.Boot[:],
		ChangedMs:   c.Now.UnixMilli(),
	}
	return next, Decision{Verdict: Run}
}

func (c BeginCommand) decideInProgress(state *claimv1.Record) (*claimv1.Record, Decision) {
	if c.owns(state) {
		return state, Decision{Verdict: Run}
	}
	if !c.ProcessEnded(state.GetNode(), uuidFromBytes(state.GetBoot())) {
		return state, Decision{Verdict: InProgress}
	}
	return endedRecord(state, claimv1.Phase_PHASE_UNKNOWN, nil, c.Now), Decision{Verdict: Unknown}
}

func (c BeginCommand) owns(state *claimv1.Record) bool {
	return bytes.Equal(state.GetAttempt(), c.Attempt[:])
}

// endedRecord returns the record of a claim that ended in the given phase.
func endedRecord(state *claimv1.Record, phase claimv1.Phase, answer *claimv1.Answer, now time.Time) *claimv1.Record {
	return &claimv1.Record{
		Key:         state.GetKey(),
		Phase:       phase,
		Fingerprint: state.GetFingerprint(),
		Attempt:     state.GetAttempt(),
		ChangedMs:   now.UnixMilli(),
		Answer:      answer,
	}
}
