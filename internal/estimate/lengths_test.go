package estimate

import (
	"math"
	"runtime"
	"strconv"
	"testing"
	"time"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

func observe(l *Lengths, now time.Time, class, workspace string, tokens, times int) {
	for range times {
		l.Observe(now, class, workspace, tokens)
	}
}

func wantNear(t *testing.T, l *Lengths, class, workspace string, want float64) {
	t.Helper()
	got, ok := l.Quantile(class, workspace, Median)
	if !ok || math.Abs(got-want) > relativeAccuracy*want+1 {
		t.Errorf("Quantile(%s, %s) = %v, %v, want about %v", class, workspace, got, ok, want)
	}
}

func TestQuantileFallsBackToClassThenUpstream(t *testing.T) {
	l := NewLengths(0)
	if _, ok := l.Quantile("quick", "a", Median); ok {
		t.Error("an empty estimator gave an estimate")
	}
	observe(l, start, "quick", "a", 100, minCount)
	observe(l, start, "quick", "b", 500, minCount-1)
	observe(l, start, "quick", "c", 500, 2*minCount)
	wantNear(t, l, "quick", "a", 100)
	wantNear(t, l, "quick", "b", 500)
	wantNear(t, l, "quick", "unseen", 500)
	wantNear(t, l, "unseen", "a", 500)
}

func TestOldLengthsExpire(t *testing.T) {
	l := NewLengths(0)
	observe(l, start, "quick", "a", 1000, 100)
	observe(l, start.Add(2*generationTime), "quick", "a", 50, minCount)
	wantNear(t, l, "quick", "a", 50)
}

func TestInvalidAndExtremeLengthsDoNotSkewEstimate(t *testing.T) {
	l := NewLengths(0)
	for _, tokens := range []int{0, -1, math.MaxInt} {
		observe(l, start, "quick", "a", tokens, 1)
	}
	observe(l, start, "quick", "a", 100, 100)
	wantNear(t, l, "quick", "a", 100)
}

func TestWorkspaceSketchesAreBounded(t *testing.T) {
	l := NewLengths(100)
	for i := range 1000 {
		l.Observe(start, "quick", strconv.Itoa(i), 10)
		l.Observe(start, "quick", "busy", 10)
	}
	if len(l.workspaces) != 100 || l.recent.Len() != 100 {
		t.Errorf("%d sketches in the map and %d in the list, want 100", len(l.workspaces), l.recent.Len())
	}
	if _, ok := l.workspaces[sketchKey{"quick", "busy"}]; !ok {
		t.Error("the most recently used workspace was evicted")
	}
}

// BenchmarkWorkspaceBytes reports the heap of one workspace sketch.
func BenchmarkWorkspaceBytes(b *testing.B) {
	const count = 11000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := NewLengths(count)
		for i := range count {
			name := strconv.Itoa(i)
			for n := range 2 * minCount {
				l.Observe(start, "quick", name, 20+37*n)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "bytes/workspace")
		runtime.KeepAlive(l)
	}
}

func BenchmarkObserve(b *testing.B) {
	l := NewLengths(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Observe(start, "quick", "a", 10+i%1000)
	}
}
