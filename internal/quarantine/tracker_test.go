package quarantine

import (
	"fmt"
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
	tracker := NewTracker("", 0)
	expect(t, tracker, start, poison, Normal)
	tracker.Crash(start, "r1", []Fingerprint{poison, innocent, poison})
	expect(t, tracker, start, poison, RunAlone)
	expect(t, tracker, start, innocent, RunAlone)
	tracker.Crash(start.Add(time.Second), "r2", []Fingerprint{poison, neighbour})
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
	tracker := NewTracker("", 0)
	for i := range 3 {
		tracker.Crash(start, replicaName(i), []Fingerprint{1, 2})
	}
	expect(t, tracker, start, 1, RunAlone)
	expect(t, tracker, start, 2, RunAlone)
}

// Guards against the quarantine of a request whose second replica crashed in the same moment as the first,
// as of a failed rack. A request that crashes replicas at once is still found.
func TestReplicasThatCrashTogetherDoNotQuarantineARequest(t *testing.T) {
	tests := map[string]struct {
		first, after, second time.Duration
		want                 Verdict
	}{
		"sent on to a replica that crashes as well": {time.Second, time.Millisecond, time.Millisecond, RunAlone},
		"ran before the second crash":               {time.Second, 50 * time.Millisecond, 20 * time.Millisecond, Refuse},
		"crashes replicas at once":                  {time.Millisecond, time.Millisecond, time.Millisecond, Refuse},
		"crashes a replica at once, later":          {time.Second, 200 * time.Millisecond, time.Millisecond, Refuse},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker, running := NewTracker("", 0), NewActiveRuns()
			crash := func(at time.Time, replica string, lasted time.Duration) {
				run, _ := running.Start(at.Add(-lasted), replica, 1, Normal)
				tracker.CrashOf(at, replica, running.Crash(at, run))
			}
			crash(start, "r1", test.first)
			crash(start.Add(test.after), "r2", test.second)
			expect(t, tracker, start.Add(test.after), 1, test.want)
		})
	}
}

// Two requests that always crash replicas together are both refused in the end: one of them is
// the cause, and nothing tells which.
func TestInseparableSuspectsAreQuarantined(t *testing.T) {
	tracker := NewTracker("", 0)
	for i := range provenCrashes {
		tracker.Crash(start, replicaName(i), []Fingerprint{1, 2})
	}
	expect(t, tracker, start, 1, Refuse)
	expect(t, tracker, start, 2, Refuse)
}

func TestQuarantineGrowsAndEnds(t *testing.T) {
	tracker := NewTracker("", 0)
	now := start
	tracker.Crash(now, "r0", []Fingerprint{1})
	for i := range 10 {
		tracker.Crash(now, replicaName(i), []Fingerprint{1})
		want := quarantines[min(i, len(quarantines)-1)]
		verdict, wait := tracker.Decide(now, 1)
		if verdict != Refuse || wait != want {
			t.Fatalf("verdict %s for %v, want %s for %v", verdict, wait, Refuse, want)
		}
		now = now.Add(wait)
		expect(t, tracker, now, 1, Trial)
	}
	expect(t, tracker, now.Add(suspicionDuration), 1, Normal)
	if left := tracker.Records(now.Add(suspicionDuration)); len(left) != 0 || tracker.count.Load() != 0 {
		t.Fatalf("expired records were not removed: %v", left)
	}
}

// Each node that ran a request on a replica reports the crash. Counted as several crashes, they
// quarantined requests that had run on one crashed replica.
func TestCrashReportedByTwoNodesCountsOnce(t *testing.T) {
	here, there := NewTracker("", 0), NewTracker("", 0)
	there.Merge(start, here.Crash(start, "r1", []Fingerprint{1}))
	there.Crash(start.Add(100*time.Millisecond), "r1", []Fingerprint{1})
	expect(t, there, start.Add(100*time.Millisecond), 1, RunAlone)
	there.Crash(start.Add(sameCrashTime), "r1", []Fingerprint{1})
	expect(t, there, start.Add(sameCrashTime), 1, Refuse)
}

// All nodes began trials at the moment at which a quarantine ended.
func TestNodesBeginTrialsAtDifferentTimes(t *testing.T) {
	const nodes = 50
	first := NewTracker("node-0", 0)
	first.Crash(start, "r1", []Fingerprint{1})
	records := first.Crash(start, "r2", []Fingerprint{1})
	end := start.Add(quarantines[0])
	early := 0
	for i := range nodes {
		tracker := NewTracker(fmt.Sprintf("node-%d", i), 0)
		tracker.Merge(start, records)
		expect(t, tracker, end.Add(-time.Millisecond), 1, Refuse)
		expect(t, tracker, end.Add(trialSpread), 1, Trial)
		if verdict, _ := tracker.Decide(end.Add(trialSpread/4), 1); verdict == Trial {
			early++
		}
	}
	if early == 0 || early > nodes/2 {
		t.Errorf("%d of %d nodes begin trials in the first quarter of the time", early, nodes)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	tracker := NewTracker("", 10)
	for i := range 100 {
		tracker.Crash(start.Add(time.Duration(i)), "r1", []Fingerprint{Fingerprint(i)})
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
			LastReplica: rapid.Uint32Range(0, 2).Draw(t, "replica"), Crashes: rapid.IntRange(0, 2).Draw(t, "crashes"),
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
	here, there := NewTracker("", 0), NewTracker("", 0)
	here.Crash(start, "r1", []Fingerprint{1})
	there.Merge(start, here.Crash(start, "r2", []Fingerprint{1}))
	expect(t, there, start, 1, Refuse)
	after := start.Add(quarantines[0])
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
	here, there := NewTracker("", 0), NewTracker("", 0)
	here.Crash(start, "r1", []Fingerprint{1})
	here.Crash(start, "r2", []Fingerprint{1})
	there.Crash(start.Add(time.Second), "r3", []Fingerprint{1})
	here.Merge(start.Add(time.Second), there.Records(start.Add(time.Second)))
	expect(t, here, start.Add(2*time.Second), 1, Refuse)
	there.Merge(start.Add(time.Second), here.Records(start.Add(time.Second)))
	expect(t, there, start.Add(2*time.Second), 1, Refuse)
}

// A crash at a node that did not know that the request had finished was counted from zero, and the
// next one was taken for a first crash. The end of an earlier quarantine was kept as well.
func TestCrashUnknownToTheNodeThatClearedTheRequest(t *testing.T) {
	here, there := NewTracker("", 0), NewTracker("", 0)
	for i := range 2 {
		there.Merge(start, here.Crash(start, replicaName(i), []Fingerprint{1}))
	}
	cleared, _ := here.Finished(start.Add(time.Second), 1)
	there.Merge(start, there.Crash(start.Add(2*time.Second), "r3", []Fingerprint{1}))
	there.Merge(start.Add(2*time.Second), []Record{cleared})
	expect(t, there, start.Add(2*time.Second), 1, RunAlone)
	there.Crash(start.Add(4*time.Second), "r4", []Fingerprint{1})
	if verdict, left := there.Decide(start.Add(4*time.Second), 1); verdict != Refuse || left != quarantines[0] {
		t.Errorf("verdict %s for %s, want %s for %s", verdict, left, Refuse, quarantines[0])
	}
}
