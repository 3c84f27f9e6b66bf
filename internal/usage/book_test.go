package usage

import (
	"maps"
	"testing"
	"time"
)

const length = 5 * time.Second

// start is the beginning of a window.
var start = time.Unix(1_700_000_000, 0)

func TestMergeIsIdempotent(t *testing.T) {
	b := NewBook(length, start)
	window := b.Next
	for range 3 {
		b.Merge("vm-1", map[int64]Counts{window: {"shop": 4}})
	}
	b.Merge("vm-1", map[int64]Counts{window: {"shop": 7, "bar": 1}})
	// A response that arrives out of order.
	b.Merge("vm-1", map[int64]Counts{window: {"shop": 5}})
	b.Merge("vm-2", map[int64]Counts{window: {"shop": 2}})
	if !b.Fix(start.Add(length), nil) {
		t.Fatal("Fix found no window at the end of the window")
	}
	if want := (Counts{"shop": 9, "bar": 1}); !maps.Equal(b.Fixed[window], want) {
		t.Errorf("fixed %v, want %v", b.Fixed[window], want)
	}
}

func TestFixedSumsDoNotChange(t *testing.T) {
	b := NewBook(length, start)
	window := b.Next
	b.Merge("vm-1", map[int64]Counts{window: {"shop": 4}})
	b.Fix(start.Add(length), nil)
	if late := b.Merge("vm-2", map[int64]Counts{window: {"shop": 3}}); late != 3 {
		t.Errorf("Merge returned %d late requests, want 3", late)
	}
	if got := b.Fixed[window]["shop"]; got != 4 {
		t.Errorf("the fixed sum is %d, want 4", got)
	}
}

func TestWindowsWithoutRequestsAreReportedToo(t *testing.T) {
	b := NewBook(length, start)
	b.Fix(start.Add(3*length), nil)
	if got := len(b.ToSend()); got != 3 {
		t.Errorf("%d reports, want 3", got)
	}
}

func TestSkipDropsOldWindows(t *testing.T) {
	b := NewBook(length, start)
	b.Merge("vm-1", map[int64]Counts{b.Next: {"shop": 1}})
	if skipped := b.Skip(start.Add(100 * length)); skipped != 100 || len(b.Open) != 0 {
		t.Errorf("skipped %d, open %v", skipped, b.Open)
	}
}

func TestMeterCountsInWindowsOfFleetTime(t *testing.T) {
	now := start
	m := NewMeter(length, func() time.Time { return now })
	m.Began("shop")
	m.Began("")
	now = now.Add(length)
	m.Began("shop")
	m.Began("shop")
	first := Window(start, length)
	got := m.Since(first)
	if got[first]["shop"] != 1 || got[first+1]["shop"] != 2 || len(got[first]) != 1 {
		t.Errorf("counted %v", got)
	}
	now = now.Add(2 * keepWindows * length)
	m.Began("shop")
	if got := m.Since(0); len(got) != 1 {
		t.Errorf("%d windows are kept, want only the newest", len(got))
	}
}
