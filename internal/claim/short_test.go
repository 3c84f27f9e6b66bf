package claim

import (
	"testing"
	"time"

	"github.com/google/uuid"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/refusal"
)

func (h *ringHarness) overwriteAllSegments() {
	h.t.Helper()
	for range len(h.ring.slots) + 1 {
		h.ring.compact = true
		h.write()
	}
}

// TestShortRecords repeats ended claims after they were shortened, before and after a
// recovery, until their retention ends.
func TestShortRecords(t *testing.T) {
	cases := []struct {
		name    string
		phase   claimv1.Phase
		content Fingerprint
		verdict Verdict
		refused refusal.Reason
	}{
		{"recorded", phaseRecorded, Fingerprint{}, Recorded, ""},
		{"recorded, other content", phaseRecorded, modelContent, 0, refusal.IdempotencyKeyReused},
		{"unknown", phaseUnknown, Fingerprint{}, Unknown, ""},
		{"unknown, other content", phaseUnknown, modelContent, 0, refusal.IdempotencyKeyReused},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			policy := smallPolicy()
			harness := newRingHarness(t, policy)
			harness.now = harness.now.Add(time.Millisecond)
			ended := harness.now
			harness.begin(keyNumber(1), attemptNumber(1), "")
			harness.finish(keyNumber(1), attemptNumber(1), test.phase, make([]byte, 200))
			harness.write()
			harness.now = ended.Add(policy.AnswerRetention + time.Millisecond)
			harness.overwriteAllSegments()
			if current := harness.ring.index[digestOf(keyNumber(1))]; !current.short || current.size() > 48 {
				t.Errorf("the claim takes %d bytes, short %v", current.size(), current.short)
			}
			expectRepeat := func(at time.Duration, verdict Verdict, refused refusal.Reason) {
				t.Helper()
				harness.now = ended.Add(at)
				command := BeginCommand{Key: keyNumber(1), CallFingerprint: test.content, Attempt: uuid.New(), Now: harness.now}
				state, err := harness.ring.lookup(harness.ring.index[digestOf(keyNumber(1))], len(harness.ring.index) > 0, harness.now)
				if err != nil {
					t.Fatal(err)
				}
				_, got := Apply(state, command)
				if got.Verdict != verdict || got.Refused != refused {
					t.Errorf("after %v a repeat got %+v", at, got)
				}
				if got.Verdict == Recorded && (got.Answer.GetStatus() != 201 || !got.Answer.GetBodyDropped()) {
					t.Errorf("the recorded answer is %v", got.Answer)
				}
			}
			expectRepeat(policy.KeyRetention, test.verdict, test.refused)
			harness.recover(policy, 2)
			expectRepeat(policy.KeyRetention, test.verdict, test.refused)
			expectRepeat(policy.KeyRetention+2*time.Second, Run, "")
		})
	}
}

// The owner of an unknown claim can still record its answer after the claim was
// shortened and recovered.
func TestShortUnknownIsRecorded(t *testing.T) {
	policy := smallPolicy()
	harness := newRingHarness(t, policy)
	harness.begin(keyNumber(1), attemptNumber(1), "")
	harness.finish(keyNumber(1), attemptNumber(1), phaseUnknown, nil)
	harness.now = harness.now.Add(policy.AnswerRetention + time.Second)
	harness.overwriteAllSegments()
	harness.recover(policy, 2)
	harness.finish(keyNumber(1), attemptNumber(2), phaseRecorded, []byte("another's"))
	harness.finish(keyNumber(1), attemptNumber(1), phaseRecorded, []byte("late"))
	harness.write()
	harness.recover(policy, 3)
	if got := harness.begin(keyNumber(1), uuid.New(), ""); got.Verdict != Recorded || string(got.Answer.GetBody()) != "late" {
		t.Errorf("a repeat got %+v", got)
	}
}

// A malformed short record must be an error; ignoring it would lose a claim.
func TestDecodeMalformedShortRecord(t *testing.T) {
	state := &claimv1.Record{Phase: phaseRecorded, Fingerprint: modelContent[:], Attempt: make([]byte, 16)}
	good := encodeShortRecord(digest{}, state)
	state.Phase = phaseUnknown
	unknown := encodeShortRecord(digest{}, state)
	for name, packed := range map[string][]byte{
		"too short": good[:len(good)-1], "too long": append(good[:len(good):len(good)], 0),
		"no attempt": unknown[:shortRecordBytes], "no phase": make([]byte, shortRecordBytes),
	} {
		if _, err := decodeShortRecord(packed); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}
