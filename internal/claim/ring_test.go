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
	b := &ringHarness{t: t, entries: make(map[string]platform.Entry), now: time.UnixMilli(1_700_000_000_000)}
	b.recover(policy, 1)
	return b
}

func (b *ringHarness) recover(policy Policy, epoch int64) {
	b.t.Helper()
	var entries []platform.Entry
	for _, entry := range b.entries {
		entries = append(entries, entry)
	}
	var err error
	b.ring, err = recoverRing(policy, "claims/", "n1", epoch, entries)
	if err != nil {
		b.t.Fatal(err)
	}
	b.write()
}

// write performs writes until no changes are pending.
func (b *ringHarness) write() {
	b.t.Helper()
	for first := true; first || len(b.ring.pending) > 0; first = false {
		next, err := b.ring.nextWrite(b.now, uuid.New())
		if err != nil {
			b.t.Fatal(err)
		}
		if len(next.value) > platform.MaxValueBytes {
			b.t.Fatalf("a write of %d bytes", len(next.value))
		}
		if b.entries[next.key].Revision != next.expect {
			b.t.Fatalf("write to %s expects revision %d, not %d", next.key, next.expect, b.entries[next.key].Revision)
		}
		b.revision++
		b.entries[next.key] = platform.Entry{Key: next.key, Value: next.value, Revision: b.revision}
		b.ring.markWritten(next, b.revision)
	}
}

func (b *ringHarness) begin(key Key, attempt uuid.UUID, refuse refusal.Reason) Decision {
	b.t.Helper()
	command := BeginCommand{
		Key: key, Attempt: attempt, Node: "n1", Now: b.now, RefuseNew: refuse,
		ProcessEnded: func(string, uuid.UUID) bool { return false },
	}
	decision, _, err := b.ring.apply(key, command, b.now)
	if err != nil {
		b.t.Fatal(err)
	}
	return decision
}

func (b *ringHarness) finish(key Key, attempt uuid.UUID, phase claimv1.Phase, body []byte) {
	b.t.Helper()
	command := FinishCommand{Key: key, Attempt: attempt, Phase: phase, Now: b.now}
	if phase == phaseRecorded {
		command.Answer = &claimv1.Answer{Status: 201, Body: body}
	}
	if _, _, err := b.ring.apply(key, command, b.now); err != nil {
		b.t.Fatal(err)
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
	b := newRingHarness(t, policy)
	sealed := 0
	for round := range int64(400) {
		for range 1 + random.IntN(6) {
			n := random.IntN(3000)
			if !b.ring.isFull() && b.begin(keyNumber(n), attemptNumber(n), "").Verdict == Run {
				phases := []claimv1.Phase{phaseRecorded, phaseUnknown, phaseReleased, claimv1.Phase_PHASE_UNSPECIFIED}
				if phase := phases[random.IntN(4)]; phase != 0 {
					b.finish(keyNumber(n), attemptNumber(n), phase, bytes.Repeat([]byte("x"), random.IntN(200)))
				}
			}
		}
		b.ring.compact = b.ring.isFull()
		b.write()
		b.now = b.now.Add(time.Duration(random.IntN(60)) * time.Minute)
		if b.ring.sealed {
			sealed++
		}
		before := b.ring
		b.recover(policy, round+2)
		compareRings(t, before, b.ring, b.now)
		if t.Failed() {
			t.Fatalf("round %d", round)
		}
	}
	if b.ring.tail < 3*int64(policy.Segments) || sealed == 0 {
		t.Errorf("the ring only reached segment %d", b.ring.tail)
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
func TestFullLedger(t *testing.T) {
	policy := smallPolicy()
	b := newRingHarness(t, policy)
	claimed := 0
	for ; !b.ring.isFull(); claimed++ {
		if fill := b.ring.fill(); fill > 1 {
			t.Fatalf("the fill is %v, but claims are accepted", fill)
		}
		if b.begin(keyNumber(claimed), attemptNumber(claimed), "").Verdict != Run {
			t.Fatal("a new claim did not run")
		}
		b.write()
	}
	if fill := b.ring.fill(); fill < 1 {
		t.Errorf("the fill is %v, but no claims are accepted", fill)
	}
	if got := b.begin(keyNumber(claimed), attemptNumber(claimed), refusal.ClaimLedgerFull); got.Refused != refusal.ClaimLedgerFull {
		t.Errorf("a claim past the bound got %+v", got)
	}
	for n := range claimed {
		b.finish(keyNumber(n), attemptNumber(n), phaseRecorded, nil)
		b.write()
	}
	b.recover(policy, 2)
	for n := range claimed {
		if got := b.begin(keyNumber(n), uuid.New(), refusal.ClaimLedgerFull); got.Verdict != Recorded {
			t.Fatalf("claim %d of %d in a full ledger got %+v", n, claimed, got)
		}
	}
	b.now = b.now.Add(policy.KeyRetention + time.Minute)
	for range 2 * policy.Segments {
		b.ring.compact = true
		b.write()
	}
	if b.ring.fill() > 0 || len(b.ring.index) != 0 {
		t.Errorf("%d claims and %d bytes are left after their retention", len(b.ring.index), b.ring.bytes)
	}
}

// The body expires before the claim, and an unfinished claim never expires.
func TestRetention(t *testing.T) {
	policy := smallPolicy()
	policy.AnswerRetention = time.Hour
	b := newRingHarness(t, policy)
	b.begin(keyNumber(1), attemptNumber(1), "")
	b.finish(keyNumber(1), attemptNumber(1), phaseRecorded, []byte("answer"))
	b.begin(keyNumber(2), attemptNumber(2), "")
	b.write()
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
		b.now = b.now.Add(step.after)
		first := b.begin(keyNumber(1), uuid.New(), "")
		if first.Verdict != step.first || first.Answer.GetBodyDropped() != step.dropped || first.Answer.GetStatus() != 201 {
			t.Errorf("after %v the recorded claim got %+v", step.after, first)
		}
		if second := b.begin(keyNumber(2), uuid.New(), ""); second.Verdict != step.unfinished {
			t.Errorf("after %v the unfinished claim got %+v", step.after, second)
		}
	}
	b.now = b.now.Add(policy.KeyRetention)
	if got := b.begin(keyNumber(1), uuid.New(), ""); got.Verdict != Run {
		t.Errorf("past its retention the claim got %+v", got)
	}
}

// Recovery must fail on unreadable entries and on an epoch older than the stored one.
func TestRecoverRefuses(t *testing.T) {
	policy := smallPolicy()
	b := newRingHarness(t, policy)
	b.recover(policy, 5)
	good := slices.Collect(func(yield func(platform.Entry) bool) {
		for _, entry := range b.entries {
			if !yield(entry) {
				return
			}
		}
	})
	cases := map[string]struct {
		epoch   int64
		entries []platform.Entry
	}{
		"an older epoch":      {4, good},
		"a broken value":      {6, []platform.Entry{{Key: segmentKey("claims/", 1), Value: []byte{0xff}, Revision: 1}}},
		"a key past the ring": {6, []platform.Entry{{Key: segmentKey("claims/", policy.Segments), Revision: 1}}},
	}
	for name, test := range cases {
		if _, err := recoverRing(policy, "claims/", "n1", test.epoch, test.entries); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	if _, err := recoverRing(policy, "claims/", "n1", 6, good); err != nil {
		t.Errorf("a good ring was refused: %v", err)
	}
}
