package claim

import (
	"testing"
	"time"

	"github.com/google/uuid"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/refusal"
)

const phaseInProgress = claimv1.Phase_PHASE_IN_PROGRESS

// recordInPhase returns the record of attempt 1 in the given phase; nil for none.
func recordInPhase(phase claimv1.Phase) *claimv1.Record {
	if phase == 0 {
		return nil
	}
	begun, _ := Apply(nil, beginOf(1, modelContent, false))
	if phase == phaseInProgress {
		return begun
	}
	ended, _ := Apply(begun, FinishCommand{Key: modelKey, Attempt: attemptNumber(1), Phase: phase, Now: modelNow})
	return ended
}

func beginOf(attempt int, content Fingerprint, processEnded bool) BeginCommand {
	return BeginCommand{
		Key: modelKey, CallFingerprint: content, Attempt: attemptNumber(attempt), Node: "n1", Now: modelNow,
		ProcessEnded: func(string, uuid.UUID) bool { return processEnded },
	}
}

func TestApplyBegin(t *testing.T) {
	otherContent := FingerprintOf("POST", "/claims", []byte("other"))
	cases := []struct {
		name         string
		phase        claimv1.Phase
		attempt      int
		content      Fingerprint
		processEnded bool
		verdict      Verdict
		refused      refusal.Reason
		after        claimv1.Phase
	}{
		{"new", 0, 2, modelContent, false, Run, "", phaseInProgress},
		{"same attempt again", phaseInProgress, 1, modelContent, false, Run, "", phaseInProgress},
		{"repeat while in progress", phaseInProgress, 2, modelContent, false, InProgress, "", phaseInProgress},
		{"repeat after the owner's node died", phaseInProgress, 2, modelContent, true, Unknown, "", phaseUnknown},
		{"repeat of a recorded claim", phaseRecorded, 2, modelContent, true, Recorded, "", phaseRecorded},
		{"repeat of an unknown claim", phaseUnknown, 2, modelContent, true, Unknown, "", phaseUnknown},
		{"repeat of a released claim", phaseReleased, 2, modelContent, false, Run, "", phaseInProgress},
		{"delayed duplicate of a released attempt", phaseReleased, 1, modelContent, false, 0, refusal.ClaimStoreDown, phaseReleased},
		{"other content while in progress", phaseInProgress, 2, otherContent, false, 0, refusal.IdempotencyKeyReused, phaseInProgress},
		{"other content after the record", phaseRecorded, 2, otherContent, false, 0, refusal.IdempotencyKeyReused, phaseRecorded},
		{"other content after a release", phaseReleased, 2, otherContent, false, Run, "", phaseInProgress},
	}
	for _, test := range cases {
		after, decision := Apply(recordInPhase(test.phase), beginOf(test.attempt, test.content, test.processEnded))
		if decision.Verdict != test.verdict || decision.Refused != test.refused || after.GetPhase() != test.after {
			t.Errorf("%s: got %+v and %v", test.name, decision, after.GetPhase())
		}
	}
}

func TestApplyFinish(t *testing.T) {
	cases := []struct {
		name    string
		before  claimv1.Phase
		attempt int
		finish  claimv1.Phase
		after   claimv1.Phase
	}{
		{"record", phaseInProgress, 1, phaseRecorded, phaseRecorded},
		{"release", phaseInProgress, 1, phaseReleased, phaseReleased},
		{"mark unknown", phaseInProgress, 1, phaseUnknown, phaseUnknown},
		{"record an unknown claim", phaseUnknown, 1, phaseRecorded, phaseRecorded},
		{"release an unknown claim", phaseUnknown, 1, phaseReleased, phaseUnknown},
		{"release a recorded claim", phaseRecorded, 1, phaseReleased, phaseRecorded},
		{"record a released claim", phaseReleased, 1, phaseRecorded, phaseReleased},
		{"another attempt records", phaseInProgress, 2, phaseRecorded, phaseInProgress},
		{"another attempt releases", phaseInProgress, 2, phaseReleased, phaseInProgress},
		{"release before the claim", 0, 1, phaseReleased, phaseReleased},
		{"record without a claim", 0, 1, phaseRecorded, 0},
	}
	for _, test := range cases {
		command := FinishCommand{Key: modelKey, Attempt: attemptNumber(test.attempt), Phase: test.finish, Now: modelNow}
		after, _ := Apply(recordInPhase(test.before), command)
		if after.GetPhase() != test.after {
			t.Errorf("%s: got %v, want %v", test.name, after.GetPhase(), test.after)
		}
	}
}

// A release may arrive before its claim; the delayed claim must not run.
func TestReleaseBeforeItsClaim(t *testing.T) {
	harness := newRingHarness(t, smallPolicy())
	harness.finish(keyNumber(1), attemptNumber(1), phaseReleased, nil)
	harness.write()
	harness.now = harness.now.Add(time.Second)
	if got := harness.begin(keyNumber(1), attemptNumber(1), ""); got.Refused != refusal.ClaimStoreDown {
		t.Errorf("the delayed duplicate got %+v", got)
	}
	if got := harness.begin(keyNumber(1), attemptNumber(2), ""); got.Verdict != Run {
		t.Errorf("the repeat got %+v", got)
	}
}
