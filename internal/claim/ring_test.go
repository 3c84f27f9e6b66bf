package claim

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/refusal"
)

// ringHarness drives one ring on an in-memory map of platform entries.
type ringHarness struct {
	t        testing.TB
	ring     *ring
	entries  map[string]platform.Entry
	revision int64
	now      time.Time
}

func newRingHarness(t testing.TB, policy Policy) *ringHarness {
	harness := &ringHarness{t: t, entries: make(map[string]platform.Entry), now: time.UnixMilli(1_700_000_000_000)}
	harness.recover(policy, 1)
	return harness
}

func (h *ringHarness) recover(policy Policy, epoch int64) {
	h.t.Helper()
	var entries []platform.Entry
	for _, entry := range h.entries {
		entries = append(entries, entry)
	}
	var err error
	h.ring, err = recoverRing(policy, "claims/", "n1", epoch, entries)
	if err != nil {
		h.t.Fatal(err)
	}
	h.write()
}

// write performs writes until no changes are pending.
func (h *ringHarness) write() {
	h.t.Helper()
	for first := true; first || len(h.ring.pending) > 0; first = false {
		next, err := h.ring.nextWrite(h.now, uuid.New())
		if err != nil {
			h.t.Fatal(err)
		}
		if len(next.value) > platform.MaxValueBytes {
			h.t.Fatalf("a write of %d bytes", len(next.value))
		}
		if h.entries[next.key].Revision != next.expectedRevision {
			h.t.Fatalf("write to %s expects revision %d, not %d", next.key, next.expectedRevision, h.entries[next.key].Revision)
		}
		h.revision++
		h.entries[next.key] = platform.Entry{Key: next.key, Value: next.value, Revision: h.revision}
		h.ring.markWritten(next, h.revision)
	}
}

func (h *ringHarness) begin(key Key, attempt uuid.UUID, refuse refusal.Reason) Decision {
	h.t.Helper()
	command := BeginCommand{
		Key: key, Attempt: attempt, Node: "n1", Now: h.now, RefuseNew: refuse,
		ProcessEnded: func(string, uuid.UUID) bool { return false },
	}
	decision, _, err := h.ring.apply(key, command, h.now)
	if err != nil {
		h.t.Fatal(err)
	}
	return decision
}

func (h *ringHarness) finish(key Key, attempt uuid.UUID, phase claimv1.Phase, body []byte) {
	h.t.Helper()
	command := FinishCommand{Key: key, Attempt: attempt, Phase: phase, Now: h.now}
	if phase == phaseRecorded {
		command.Answer = &claimv1.Answer{Status: 201, Body: body}
	}
	if _, _, err := h.ring.apply(key, command, h.now); err != nil {
		h.t.Fatal(err)
	}
}

func keyNumber(n int) Key {
	return Key{Workspace: "workspace-7", Upstream: "member-ledger", IdempotencyKey: fmt.Sprintf("claim-%08d", n)}
}

func attemptNumber(n int) uuid.UUID {
	return uuid.NewSHA1(uuid.NameSpaceOID, fmt.Append(nil, n))
}

func smallPolicy() Policy {
	policy := DefaultPolicy()
	policy.Segments = 8
	policy.SegmentBytes = 4 << 10
	return policy
}

// TestRecoveryMatchesWrittenRing wraps the ring around many times with random claims
// and compares each recovered ring with the one that was written.
func TestRecoveryMatchesWrittenRing(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	policy := smallPolicy()
	harness := newRingHarness(t, policy)
	sealed := 0
	for round := range int64(400) {
		for range 1 + random.IntN(6) {
			n := random.IntN(3000)
			if !harness.ring.isFull() && harness.begin(keyNumber(n), attemptNumber(n), "").Verdict == Run {
				phases := []claimv1.Phase{phaseRecorded, phaseUnknown, phaseReleased, claimv1.Phase_PHASE_UNSPECIFIED}
				if phase := phases[random.IntN(4)]; phase != 0 {
					harness.finish(keyNumber(n), attemptNumber(n), phase, bytes.Repeat([]byte("x"), random.IntN(200)))
				}
			}
		}
		harness.ring.compact = harness.ring.isFull()
		harness.write()
		harness.now = harness.now.Add(time.Duration(random.IntN(60)) * time.Minute)
		if harness.ring.sealed {
			sealed++
		}
		before := harness.ring
		harness.recover(policy, round+2)
		compareRings(t, before, harness.ring, harness.now)
		if t.Failed() {
			t.Fatalf("round %d", round)
		}
	}
	if harness.ring.tail < 3*int64(policy.Segments) || sealed == 0 {
		t.Errorf("the ring only reached segment %d", harness.ring.tail)
	}
}

// compareRings compares the state of each claim as of now.
func compareRings(t *testing.T, before, after *ring, now time.Time) {
	t.Helper()
	ids := maps.Clone(before.index)
	maps.Copy(ids, after.index)
	for id := range ids {
		want, got := stateAt(t, before, id, now), stateAt(t, after, id, now)
		// A short record of a recorded claim does not contain its attempt.
		sameAttempt := bytes.Equal(got.GetAttempt(), want.GetAttempt()) || got.GetPhase() == phaseRecorded
		if got.GetPhase() != want.GetPhase() || !sameAttempt {
			t.Errorf("claim %x is %v after recovery, not %v", id, got, want)
		}
		if !bytes.HasPrefix(want.GetFingerprint(), got.GetFingerprint()) {
			t.Errorf("claim %x has fingerprint %x after recovery, not %x", id, got.GetFingerprint(), want.GetFingerprint())
		}
		if !proto.Equal(got.GetAnswer(), want.GetAnswer()) {
			t.Errorf("claim %x has answer %v after recovery, not %v", id, got.GetAnswer(), want.GetAnswer())
		}
	}
}

func stateAt(t *testing.T, r *ring, id digest, now time.Time) *claimv1.Record {
	t.Helper()
	current, exists := r.index[id]
	state, err := r.lookup(current, exists, now)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// A full ring refuses new claims, still finishes and returns existing ones, and has room
// again after they have expired.
func TestFullRing(t *testing.T) {
	policy := smallPolicy()
	harness := newRingHarness(t, policy)
	claimed := 0
	for ; !harness.ring.isFull(); claimed++ {
		if fill := harness.ring.fill(); fill > 1 {
			t.Fatalf("the fill is %v, but claims are accepted", fill)
		}
		if harness.begin(keyNumber(claimed), attemptNumber(claimed), "").Verdict != Run {
			t.Fatal("a new claim did not run")
		}
		harness.write()
	}
	if fill := harness.ring.fill(); fill < 1 {
		t.Errorf("the fill is %v, but no claims are accepted", fill)
	}
	if got := harness.begin(keyNumber(claimed), attemptNumber(claimed), refusal.ClaimLedgerFull); got.Refused != refusal.ClaimLedgerFull {
		t.Errorf("a new claim on the full ring got %+v", got)
	}
	for n := range claimed {
		harness.finish(keyNumber(n), attemptNumber(n), phaseRecorded, nil)
		harness.write()
	}
	harness.recover(policy, 2)
	for n := range claimed {
		if got := harness.begin(keyNumber(n), uuid.New(), refusal.ClaimLedgerFull); got.Verdict != Recorded {
			t.Fatalf("claim %d of %d on the full ring got %+v", n, claimed, got)
		}
	}
	harness.now = harness.now.Add(policy.KeyRetention + time.Minute)
	for range 2 * policy.Segments {
		harness.ring.compact = true
		harness.write()
	}
	if harness.ring.fill() > 0 || len(harness.ring.index) != 0 {
		t.Errorf("%d claims and %d bytes are left after their retention", len(harness.ring.index), harness.ring.bytes)
	}
}

// The body expires before the claim, and an unfinished claim never expires.
func TestRetention(t *testing.T) {
	policy := smallPolicy()
	policy.AnswerRetention = time.Hour
	harness := newRingHarness(t, policy)
	harness.begin(keyNumber(1), attemptNumber(1), "")
	harness.finish(keyNumber(1), attemptNumber(1), phaseRecorded, []byte("answer"))
	harness.begin(keyNumber(2), attemptNumber(2), "")
	harness.write()
	steps := []struct {
		after      time.Duration
		first      Verdict
		dropped    bool
		unfinished Verdict
	}{
		{time.Minute, Recorded, false, InProgress},
		{policy.InProgressLimit, Recorded, false, Unknown},
		{policy.AnswerRetention, Recorded, true, Unknown},
	}
	for _, step := range steps {
		harness.now = harness.now.Add(step.after)
		first := harness.begin(keyNumber(1), uuid.New(), "")
		if first.Verdict != step.first || first.Answer.GetBodyDropped() != step.dropped || first.Answer.GetStatus() != 201 {
			t.Errorf("after %v the recorded claim got %+v", step.after, first)
		}
		if second := harness.begin(keyNumber(2), uuid.New(), ""); second.Verdict != step.unfinished {
			t.Errorf("after %v the unfinished claim got %+v", step.after, second)
		}
	}
	harness.now = harness.now.Add(policy.KeyRetention)
	if got := harness.begin(keyNumber(1), uuid.New(), ""); got.Verdict != Run {
		t.Errorf("past its retention the claim got %+v", got)
	}
}

// Recovery must fail on unreadable entries and on an epoch older than the stored one.
func TestRecoverRejectsInvalidEntries(t *testing.T) {
	policy := smallPolicy()
	harness := newRingHarness(t, policy)
	harness.recover(policy, 5)
	valid := slices.Collect(func(yield func(platform.Entry) bool) {
		for _, entry := range harness.entries {
			if !yield(entry) {
				return
			}
		}
	})
	cases := map[string]struct {
		epoch   int64
		entries []platform.Entry
	}{
		"an older epoch":      {4, valid},
		"a broken value":      {6, []platform.Entry{{Key: segmentKey("claims/", 1), Value: []byte{0xff}, Revision: 1}}},
		"a key past the ring": {6, []platform.Entry{{Key: segmentKey("claims/", policy.Segments), Revision: 1}}},
	}
	for name, test := range cases {
		if _, err := recoverRing(policy, "claims/", "n1", test.epoch, test.entries); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	if _, err := recoverRing(policy, "claims/", "n1", 6, valid); err != nil {
		t.Errorf("a valid ring was rejected: %v", err)
	}
}
