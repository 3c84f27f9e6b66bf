package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// dayHours exceeds the key retention, so that the ring reaches its steady size.
const dayHours = 30

// BenchmarkDay measures one shard for longer than the key retention, with answers of 200
// bytes: fill, refusals, bytes written, memory and recovery time. The claims of one
// second share a write, as do their outcomes.
func BenchmarkDay(b *testing.B) {
	b.Run("default/rush", func(b *testing.B) {
		for range b.N {
			measureDay(b, DefaultPolicy(), dailyPeak)
		}
	})
	larger := DefaultPolicy()
	larger.Shards, larger.Segments = 64, 128
	for _, config := range []struct {
		name   string
		policy Policy
		rate   float64
	}{
		{"default", DefaultPolicy(), 5},
		{"default", DefaultPolicy(), 10},
		{"default", DefaultPolicy(), 16.5},
		{"64 shards of 128 segments", larger, 16.5},
		{"64 shards of 128 segments", larger, 40},
	} {
		b.Run(fmt.Sprintf("%s/%v a second", config.name, config.rate), func(b *testing.B) {
			for range b.N {
				measureDay(b, config.policy, func(int) float64 { return config.rate })
			}
		})
	}
}

// dailyPeak returns 10 claims per second for three hours of each day, and a daily average
// of two per second.
func dailyPeak(second int) float64 {
	if second%(24*3600) < 3*3600 {
		return 10
	}
	return 6.0 / 7
}

func measureDay(b *testing.B, policy Policy, rate func(second int) float64) {
	harness := newRingHarness(b, policy)
	due, claims, refused, writes, written, maxBytes := 0.0, 0, 0, 0, 0, 0
	write := func() {
		harness.write()
		writes++
		written += len(harness.ring.body)
	}
	for second := range dayHours * 3600 {
		harness.now = harness.now.Add(time.Second)
		first := claims
		for due += rate(second) / float64(policy.Shards); due >= 1; due-- {
			if harness.ring.isFull() {
				refused++
				continue
			}
			harness.begin(keyNumber(claims), attemptNumber(claims), "")
			claims++
		}
		if claims == first {
			continue
		}
		harness.ring.compact = harness.ring.shouldCompact()
		write()
		for n := first; n < claims; n++ {
			harness.finish(keyNumber(n), attemptNumber(n), phaseRecorded, make([]byte, 200))
		}
		write()
		maxBytes = max(maxBytes, harness.ring.bytes)
	}
	b.ReportMetric(harness.ring.fill(), "fill")
	kept := len(harness.ring.index)
	b.ReportMetric(100*float64(maxBytes)/float64(policy.capacity()), "%full")
	b.ReportMetric(100*float64(refused)/float64(refused+claims), "%refused")
	b.ReportMetric(float64(harness.ring.bytes)/float64(kept), "record-B/claim")
	b.ReportMetric(float64(written)/float64(claims), "written-B/claim")
	b.ReportMetric(float64(writes)/float64(claims), "writes/claim")
	b.ReportMetric(float64(kept*policy.Shards), "kept-claims")
	harness.ring = nil
	heapBefore := heap()
	start := time.Now()
	harness.recover(policy, 2)
	took := time.Since(start)
	used := heap() - heapBefore
	runtime.KeepAlive(harness)
	b.ReportMetric(float64(used)*float64(policy.Shards)/1e6, "heap-MB")
	b.ReportMetric(float64(used)/float64(kept), "heap-B/claim")
	b.ReportMetric(took.Seconds()*1e3, "recover-ms")
}
