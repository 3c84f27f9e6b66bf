package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func expect(t *testing.T, tracker *Tracker, now time.Time, fp Fingerprint, want Verdict) {
	t.Helper()
	if got, _ := tracker.Decide(now, fp); got != want {
		t.Fatalf("verdict on %d: %s, want %s", fp, got, want)
	}
}

func TestSecondCrashQuarantinesTheCause(t *testing.T) {
	const poison, innocent, neighbour = 1, 2, 3
	tracker := NewTracker(0)
	expect(t, tracker, start, poison, Normal)
	tracker.Crash(start, []Fingerprint{poison, innocent, poison})
	expect(t, tracker, start, poison, RunAlone)
	expect(t, tracker, start, innocent, RunAlone)
	tracker.Crash(start.Add(time.Second), []Fingerprint{poison, neighbour})
	expect(t, tracker, start.Add(time.Second), poison, Refuse)
	expect(t, tracker, start.Add(time.Second), neighbour, RunAlone)
	for _, fp := range []Fingerprint{innocent, neighbour} {
		if _, changed := tracker.Finished(start.Add(2*time.Second), fp); !changed {
			t.Fatal("a suspect that finished is not cleared")
		}
		expect(t, tracker, start.Add(2*time.Second), fp, Normal)
	}
}

func TestTwoSuspectsAreNotQuarantined(t *testing.T) {
	tracker := NewTracker(0)
	for range 3 {
		tracker.Crash(start, []Fingerprint{1, 2})
	}
	expect(t, tracker, start, 1, RunAlone)
	expect(t, tracker, start, 2, RunAlone)
}

func TestQuarantineGrowsAndEnds(t *testing.T) {
	tracker := NewTracker(0)
	now := start
	tracker.Crash(now, []Fingerprint{1})
	want := firstQuarantine
	for range 10 {
		tracker.Crash(now, []Fingerprint{1})
		verdict, wait := tracker.Decide(now, 1)
		if verdict != Refuse || wait != want {
			t.Fatalf("verdict %s for %v, want %s for %v", verdict, wait, Refuse, want)
		}
		now = now.Add(wait)
		expect(t, tracker, now, 1, RunAlone)
		want = min(2*want, longestQuarantine)
	}
	expect(t, tracker, now.Add(suspicionDuration), 1, Normal)
	if left := tracker.Records(now.Add(suspicionDuration)); len(left) != 0 || tracker.count.Load() != 0 {
		t.Fatalf("expired records were not removed: %v", left)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	tracker := NewTracker(10)
	for i := range 100 {
		tracker.Crash(start.Add(time.Duration(i)), []Fingerprint{Fingerprint(i)})
	}
	if n := len(tracker.Records(start)); n != 10 {
		t.Fatalf("%d records, want 10", n)
	}
	expect(t, tracker, start, 99, RunAlone)
}

// Checks that merge is idempotent, commutative and associative.
func TestMergeIsSemilattice(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Record {
		at := func(name string) time.Time {
			return start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, name)) * time.Second)
		}
		return Record{
			Fingerprint: 1, LastCrash: at("crash"), Until: at("until"), ClearedAt: at("cleared"),
			Level: rapid.IntRange(0, 2).Draw(t, "level"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		if merge(a, a) != a {
			t.Fatal("not idempotent")
		}
		if merge(a, b) != merge(b, a) {
			t.Fatal("not commutative")
		}
		if merge(merge(a, b), c) != merge(a, merge(b, c)) {
			t.Fatal("not associative")
		}
	})
}

func TestPeersMergeRecords(t *testing.T) {
	here, there := NewTracker(0), NewTracker(0)
	here.Crash(start, []Fingerprint{1})
	there.Merge(start, here.Crash(start, []Fingerprint{1}))
	expect(t, there, start, 1, Refuse)
	after := start.Add(firstQuarantine)
	cleared, _ := there.Finished(after, 1)
	here.Merge(after, []Record{cleared})
	expect(t, here, after, 1, Normal)
}

func TestFingerprintParts(t *testing.T) {
	if FingerprintOf("a", "bc", nil) == FingerprintOf("ab", "c", nil) {
		t.Fatal("different parts have the same fingerprint")
	}
}

// A node that had not heard of a quarantine recorded a further crash, and its record ended the
// quarantine on all nodes.
func TestCrashAtUninformedNodeDoesNotEndQuarantine(t *testing.T) {
	here, there := NewTracker(0), NewTracker(0)
	here.Crash(start, []Fingerprint{1})
	here.Crash(start, []Fingerprint{1})
	there.Crash(start.Add(time.Second), []Fingerprint{1})
	here.Merge(start.Add(time.Second), there.Records(start.Add(time.Second)))
	expect(t, here, start.Add(2*time.Second), 1, Refuse)
	there.Merge(start.Add(time.Second), here.Records(start.Add(time.Second)))
	expect(t, there, start.Add(2*time.Second), 1, Refuse)
}
