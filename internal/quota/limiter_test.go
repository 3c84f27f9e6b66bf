package quota

import (
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

func limiter(quota config.Quota, share float64) *Limiter {
	l := NewLimiter()
	l.SetQuotas(start, map[string]config.Quota{"w": quota}, share)
	return l
}

// admitted counts the requests admitted at now, up to 1000.
func admitted(l *Limiter, now time.Time, tokens float64) int {
	count := 0
	for l.Take(now, "w", tokens) == nil && count < 1000 {
		count++
	}
	return count
}

func TestRequestsPerSecond(t *testing.T) {
	l := limiter(config.Quota{RequestsPerSecond: 10}, 1)
	if got := admitted(l, start, 0); got != 20 {
		t.Errorf("burst = %d, want 20", got)
	}
	refused := l.Take(start, "w", 0)
	if refused == nil || refused.Reason != refusal.QuotaExceeded || refused.RetryAfter != 100*time.Millisecond {
		t.Errorf("Take = %v, want %s after 100ms", refused, refusal.QuotaExceeded)
	}
	if got := admitted(l, start.Add(time.Second), 0); got != 10 {
		t.Errorf("a second later = %d, want 10", got)
	}
}

func TestTokensAreCorrected(t *testing.T) {
	l := limiter(config.Quota{TokensPerSecond: 100, Burst: 1}, 1)
	if got := admitted(l, start, 50); got != 2 {
		t.Fatalf("admitted %d, want 2", got)
	}
	l.Correct(start, "w", 50, 0)
	if got := admitted(l, start, 50); got != 1 {
		t.Errorf("admitted %d after tokens were returned, want 1", got)
	}
	l.Correct(start, "w", 50, 250)
	if refused := l.Take(start, "w", 50); refused == nil || refused.RetryAfter != 2500*time.Millisecond {
		t.Errorf("Take = %v with a negative level, want a refusal for 2.5s", refused)
	}
}

func TestLargeRequestNeedsAFullBucketOnly(t *testing.T) {
	l := limiter(config.Quota{TokensPerSecond: 100, Burst: 1}, 1)
	if refused := l.Take(start, "w", 1e6); refused != nil {
		t.Errorf("Take = %v, want admission from a full bucket", refused)
	}
	if refused := l.Take(start, "w", 1); refused == nil {
		t.Error("Take admitted a request with a negative level")
	}
}

func TestShare(t *testing.T) {
	l := limiter(config.Quota{RequestsPerSecond: 40}, 0.25)
	if got := admitted(l, start, 0); got != 20 {
		t.Errorf("burst = %d with a share of 0.25, want 20", got)
	}
	l.SetShare(start, "w", 0.5)
	if got := admitted(l, start.Add(time.Second), 0); got != 20 {
		t.Errorf("a second later = %d with a share of 0.5, want 20", got)
	}
}

func TestZeroShareIsStillLimited(t *testing.T) {
	l := limiter(config.Quota{RequestsPerSecond: 10}, 1)
	l.SetShare(start, "w", 0)
	admitted(l, start, 0)
	if got := admitted(l, start.Add(10*time.Second), 0); got > 1 {
		t.Errorf("admitted %d with a share of 0, want at most 1", got)
	}
}

func TestSameQuotaKeepsBucketAndUnknownWorkspaceIsAdmitted(t *testing.T) {
	quota := config.Quota{RequestsPerSecond: 10}
	l := limiter(quota, 1)
	admitted(l, start, 0)
	l.SetQuotas(start, map[string]config.Quota{"w": quota}, 1)
	if refused := l.Take(start, "w", 0); refused == nil {
		t.Error("a new revision refilled the bucket")
	}
	l.SetQuotas(start, nil, 1)
	if refused := l.Take(start, "w", 0); refused != nil {
		t.Errorf("Take = %v for a workspace without quota, want admission", refused)
	}
}

func TestConcurrentTakesNeverExceedTheQuota(t *testing.T) {
	l := limiter(config.Quota{RequestsPerSecond: 50}, 1)
	var group sync.WaitGroup
	counts := make([]int, 8)
	for i := range counts {
		group.Go(func() { counts[i] = admitted(l, start, 0) })
	}
	group.Wait()
	total := 0
	for _, count := range counts {
		total += count
	}
	if total != 100 {
		t.Errorf("admitted %d, want 100", total)
	}
}

func BenchmarkTake(b *testing.B) {
	l := limiter(config.Quota{RequestsPerSecond: 1e12, TokensPerSecond: 1e12}, 1)
	b.ReportAllocs()
	for b.Loop() {
		l.Take(start, "w", 100)
	}
}

// BenchmarkBytes reports the heap bytes per workspace, without its name.
func BenchmarkBytes(b *testing.B) {
	const count = 11000
	quotas := make(map[string]config.Quota)
	for i := range count {
		quotas[strconv.Itoa(i)] = config.Quota{RequestsPerSecond: 1}
	}
	for b.Loop() {
		before := heapNow()
		l := NewLimiter()
		l.SetQuotas(start, quotas, 1)
		b.ReportMetric((heapNow()-before)/count, "bytes/workspace")
		runtime.KeepAlive(l)
	}
}

func heapNow() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
