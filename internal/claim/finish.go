package claim

import (
	"bytes"
	"time"

	"github.com/google/uuid"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

// FinishCommand ends the claim of one attempt. It is idempotent.
type FinishCommand struct {
	Key     Key
	Attempt uuid.UUID
	// Phase is recorded, unknown or released.
	Phase  claimv1.Phase
	Answer *claimv1.Answer
	Now    time.Time
}

func (c FinishCommand) apply(state *claimv1.Record) (*claimv1.Record, Decision) {
	if state == nil {
		return c.finishAbsent(), Decision{}
	}
	if !bytes.Equal(state.GetAttempt(), c.Attempt[:]) {
		// Only the attempt that made the claim may finish it.
		return state, Decision{}
	}
	if !c.mayReplace(state.GetPhase()) {
		return state, Decision{}
	}
	return endedRecord(state, c.Phase, c.Answer, c.Now), Decision{}
}

// finishAbsent records a release that arrives before its claim, so that the delayed
// claim is refused. Any other outcome without a claim is dropped.
func (c FinishCommand) finishAbsent() *claimv1.Record {
	if c.Phase != claimv1.Phase_PHASE_RELEASED {
		return nil
	}
	return &claimv1.Record{
		Key:       KeyToProto(c.Key),
		Phase:     claimv1.Phase_PHASE_RELEASED,
		Attempt:   c.Attempt[:],
		ChangedMs: c.Now.UnixMilli(),
	}
}

// mayReplace reports whether the command may replace the phase. An unknown claim may
// become recorded if its owner turns out to be alive, but never released.
func (c FinishCommand) mayReplace(phase claimv1.Phase) bool {
	switch phase {
	case claimv1.Phase_PHASE_IN_PROGRESS:
		return true
	case claimv1.Phase_PHASE_UNKNOWN:
		return c.Phase == claimv1.Phase_PHASE_RECORDED
	}
	return false
}
