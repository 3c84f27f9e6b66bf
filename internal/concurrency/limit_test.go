package concurrency

import (
	"testing"
	"time"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

// observeWindows records the given number of windows with the time between tokens in seconds.
func observeWindows(l *Limit, now time.Time, windows int, seconds float64) time.Time {
	for range windows {
		for range minSamples + 2 {
			l.RecordUsage(l.Value(), false)
			l.Observe(now, seconds, 0.020)
			now = now.Add(sampleWindow / minSamples)
		}
	}
	return now
}

func TestLimitGrowsAtLowAndShrinksAtHighLatency(t *testing.T) {
	l := NewLimit(8, 0)
	now := observeWindows(l, start, 50, 0.050)
	if got := l.Value(); got != 1 {
		t.Errorf("limit = %d after slow windows, want 1", got)
	}
	observeWindows(l, now, 50, 0.021)
	if got := l.Value(); got < 5 {
		t.Errorf("limit = %d after fast windows, want at least 5", got)
	}
}

func TestLimitIsBoundedAndGrowsOnlyWhenUsed(t *testing.T) {
	l := NewLimit(4, 0.99)
	now := observeWindows(l, start, 1000, 0.020)
	if got := l.Value(); got != 4 {
		t.Errorf("limit = %d, want the maximum 4", got)
	}
	l = NewLimit(4, 0)
	now = observeWindows(l, now, 50, 0.100)
	for n := range 1000 {
		l.RecordUsage(0, false)
		l.Observe(now.Add(time.Duration(n)*time.Second), 0.020, 0.020)
	}
	if got := l.Value(); got != 1 {
		t.Errorf("unused limit = %d, want 1", got)
	}
}

func TestShrunkLimitRecoversQuickly(t *testing.T) {
	l := NewLimit(16, 0)
	l.ShrinkToOne()
	if got := l.Value(); got != 1 {
		t.Fatalf("limit = %d after ShrinkToOne, want 1", got)
	}
	observeWindows(l, start, 20, 0.020)
	if got := l.Value(); got < 16 {
		t.Errorf("limit = %d after 20 windows, want 16", got)
	}
}

func TestLowLatencyNeverShrinksLimit(t *testing.T) {
	l := NewLimit(8, 0)
	for n := range 1000 {
		l.Observe(start.Add(time.Duration(n)*sampleWindow/minSamples), 0.009, 0.001)
	}
	if got := l.Value(); got != 8 {
		t.Errorf("limit = %d at 9 ms a token, want 8", got)
	}
}

func TestLatencyFloorExpires(t *testing.T) {
	var f LatencyFloor
	f.Observe(start, 0.020)
	f.Observe(start.Add(time.Second), 0.030)
	if got := f.Value(); got != 0.020 {
		t.Errorf("floor = %v, want 0.020", got)
	}
	f.Observe(start.Add(floorPeriod), 0.030)
	f.Observe(start.Add(2*floorPeriod), 0.030)
	if got := f.Value(); got != 0.030 {
		t.Errorf("floor = %v after two periods, want 0.030", got)
	}
}
