package claim

import (
	"time"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

// expire returns the state as of now: nil if its retention has expired, the same pointer
// if nothing changed. An in-progress claim is never dropped; past its limit it becomes
// unknown.
func expire(state *claimv1.Record, now time.Time, policy Policy) *claimv1.Record {
	age := now.Sub(time.UnixMilli(state.GetChangedMs()))
	switch state.GetPhase() {
	case claimv1.Phase_PHASE_IN_PROGRESS:
		if age > policy.InProgressLimit {
			return endedRecord(state, claimv1.Phase_PHASE_UNKNOWN, nil, now)
		}
	case claimv1.Phase_PHASE_RELEASED:
		if age > policy.InProgressLimit {
			return nil
		}
	case claimv1.Phase_PHASE_RECORDED:
		if age > policy.KeyRetention {
			return nil
		}
		if age > policy.AnswerRetention {
			return withoutBody(state)
		}
	case claimv1.Phase_PHASE_UNKNOWN:
		if age > policy.KeyRetention {
			return nil
		}
	}
	return state
}

func withoutBody(state *claimv1.Record) *claimv1.Record {
	if state.GetAnswer().GetBodyDropped() {
		return state
	}
	answer := &claimv1.Answer{Status: state.GetAnswer().GetStatus(), BodyDropped: true}
	return endedRecord(state, state.GetPhase(), answer, time.UnixMilli(state.GetChangedMs()))
}
