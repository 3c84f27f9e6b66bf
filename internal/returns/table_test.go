package returns

import (
	"testing"
	"time"

	"galenatrestle/internal/quarantine"
)

// Guards against a caller that goes before newcomers more than once, and against one of two callers with the
// same call that does not.
func TestTwoCallersAlikeGoBeforeNewcomersOnceEach(t *testing.T) {
	table := NewTable()
	for id := range uint32(2) {
		table.Add(start, Entry{Fingerprint: 7, ID: id, DueAt: start.Add(time.Second)}, "")
		table.Add(start, Entry{Fingerprint: 7, ID: id, DueAt: start.Add(time.Second)}, "other")
	}
	for i, want := range []Kind{AsTold, AsTold, Newcomer} {
		if got := table.Arrive(start.Add(time.Second), 7); got.Kind != want {
			t.Errorf("call %d: %q, want %q", i, got.Kind, want)
		}
	}
	if got := table.Arrive(start.Add(time.Second), 8); got.Kind != Newcomer {
		t.Errorf("a caller that was not refused: %q", got.Kind)
	}
}

// Guards against a table that grows without bound, or that keeps old entries in place of new ones.
func TestFullTableDropsTheOldestEntries(t *testing.T) {
	table := NewTable()
	for i := range maxEntries + 10 {
		table.Add(start, Entry{Fingerprint: quarantine.Fingerprint(i), DueAt: start.Add(time.Second)}, "")
	}
	due := start.Add(time.Second)
	if table.Len() != maxEntries || table.Arrive(due, 9).Kind != Newcomer || table.Arrive(due, 10).Kind != AsTold {
		t.Errorf("%d entries", table.Len())
	}
	if table.Arrive(start.Add(keepTime), 20).Kind != Newcomer || table.Len() != 0 || len(table.byFingerprint) != 0 {
		t.Errorf("%d entries after they have expired", table.Len())
	}
}

// Guards against announcements that are sent again in every round, back to where they came from, or without
// a bound.
func TestChangesAreAnnouncedOnceAndBounded(t *testing.T) {
	table := NewTable()
	for i := range MaxAnnounced + 50 {
		from := ""
		if i < 10 {
			from = "other"
		}
		table.Add(start, Entry{Fingerprint: quarantine.Fingerprint(i), DueAt: start.Add(time.Second)}, from)
	}
	table.Add(start, Entry{Fingerprint: 1, ID: 1, DueAt: start}, "")
	first, sequence := table.Changes(start, 0, "other")
	second, sequence := table.Changes(start, sequence, "other")
	third, _ := table.Changes(start, sequence, "other")
	if len(first) != MaxAnnounced || len(second) != 40 || len(third) != 0 || first[0].Fingerprint != 10 {
		t.Errorf("%d, %d and %d entries, the first is %s", len(first), len(second), len(third), first[0].Fingerprint)
	}
}

// BenchmarkAdmitted is what the package adds to a call that is admitted, with a full table.
func BenchmarkAdmitted(b *testing.B) {
	c := newBusy()
	for i := range maxEntries {
		c.Table.Add(start, Entry{Fingerprint: quarantine.Fingerprint(i), DueAt: start.Add(time.Second)}, "")
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Table.Arrive(start, maxEntries+1)
		c.Reserved(start, "u", 1)
		c.Admitted(start, "u", 1)
	}
}
