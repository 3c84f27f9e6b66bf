package claim

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
)

// The load of BenchmarkLedger: an open-loop arrival of calls, each claimed and recorded
// immediately.
const (
	benchRate         = 2_000
	benchTick         = 5 * time.Millisecond
	benchTime         = 3 * time.Second
	benchWarmUp       = time.Second
	benchLatency      = 3 * time.Millisecond
	benchNetworkDelay = time.Millisecond
)

var benchAnswer = Answer{
	Status: 201,
	Header: map[string][]string{"Content-Type": {"application/json"}},
	Body:   []byte(fmt.Sprintf("%0256d", 1)),
}

type ledgerLoad struct {
	mu       sync.Mutex
	begins   []time.Duration
	finishes []time.Duration
	refused  int
}

func (l *ledgerLoad) makeCall(ctx context.Context, node *testNode, number int) {
	key := Key{Workspace: "workspace-7", Upstream: "member-ledger", IdempotencyKey: fmt.Sprintf("claim-%08d", number)}
	start := time.Now()
	result, err := node.Begin(ctx, key, Fingerprint{})
	begun := time.Now()
	if err == nil {
		err = node.Finish(ctx, result.Token, Outcome{Kind: OutcomeRecorded, Answer: benchAnswer})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.refused++
		return
	}
	l.begins = append(l.begins, begun.Sub(start))
	l.finishes = append(l.finishes, time.Since(begun))
}

func (l *ledgerLoad) run(ctx context.Context, nodes []*testNode, rate, first int, duration time.Duration) {
	var group sync.WaitGroup
	sent := first
	ticker := time.NewTicker(benchTick)
	defer ticker.Stop()
	for tick := range int(duration / benchTick) {
		<-ticker.C
		due := first + int(time.Duration(tick+1)*time.Duration(rate)*benchTick/time.Second)
		for ; sent < due; sent++ {
			number := sent
			group.Go(func() { l.makeCall(ctx, nodes[number%len(nodes)], number) })
		}
	}
	group.Wait()
}

func quantile(durations []time.Duration, q float64) float64 {
	slices.Sort(durations)
	return durations[int(q*float64(len(durations)-1))].Seconds() * 1e3
}

// BenchmarkLedger measures platform writes, their size and the added latency at 2,000
// claims per second for several shard and segment sizes, and with and without batching
// at several rates. The platform responds in 3 ms; a message between nodes takes 1 ms.
func BenchmarkLedger(b *testing.B) {
	configs := []struct {
		name                     string
		shards, segments, segKiB int
	}{
		{"shards=1/segment=16KiB", 1, 2048, 16},
		{"shards=2/segment=16KiB", 2, 1024, 16},
		{"shards=4/segment=16KiB", 4, 512, 16},
		{"shards=8/segment=16KiB", 8, 256, 16},
		{"shards=16/segment=16KiB", 16, 128, 16},
		{"shards=4/key_per_batch", 4, 16384, 1},
		{"shards=4/segment=64KiB", 4, 128, 64},
		{"shards=4/segment=256KiB", 4, 32, 256},
		{"shards=4/one_value=512KiB", 4, 2, 512},
	}
	for _, config := range configs {
		b.Run(config.name, func(b *testing.B) {
			for range b.N {
				measureLedger(b, benchRate, config.shards, config.segments, config.segKiB, 0)
			}
		})
	}
	for _, rate := range []int{20, 200, 1000, 2000, 4000} {
		for _, flushInterval := range []time.Duration{-1, DefaultFlushInterval} {
			b.Run(fmt.Sprintf("gather=%v/rate=%d", flushInterval, rate), func(b *testing.B) {
				for range b.N {
					measureLedger(b, rate, 4, 512, 16, flushInterval)
				}
			})
		}
	}
}

func measureLedger(b *testing.B, rate, shards, segments, segKiB int, flushInterval time.Duration) {
	c := newCluster()
	c.store.latency = benchLatency
	c.networkDelay = benchNetworkDelay
	configure := func(options *Options) {
		options.FlushInterval = flushInterval
		options.Policy.Shards = shards
		options.Policy.Segments = segments
		options.Policy.SegmentBytes = segKiB << 10
	}
	var nodes []*testNode
	for _, name := range []string{"n1", "n2", "n3", "n4"} {
		nodes = append(nodes, c.start(b, name, configure))
	}
	warmUp, load := &ledgerLoad{}, &ledgerLoad{}
	warmUp.run(b.Context(), nodes, rate, 0, benchWarmUp)
	c.store.mu.Lock()
	c.store.writes, c.store.bytes = 0, 0
	c.store.mu.Unlock()
	start := time.Now()
	load.run(b.Context(), nodes, rate, 1_000_000, benchTime)
	took := time.Since(start).Seconds()
	c.store.mu.Lock()
	writes, bytes := float64(c.store.writes), float64(c.store.bytes)
	c.store.mu.Unlock()
	for _, node := range nodes {
		node.stop()
		<-node.done
	}
	claims := float64(len(load.begins))
	b.ReportMetric(claims/took, "claims/s")
	b.ReportMetric(float64(load.refused), "refused")
	b.ReportMetric(writes/took, "writes/s")
	b.ReportMetric(bytes/writes, "B/write")
	b.ReportMetric(bytes/claims, "B/claim")
	b.ReportMetric(quantile(load.begins, 0.5), "begin-p50-ms")
	b.ReportMetric(quantile(load.begins, 0.99), "begin-p99-ms")
	b.ReportMetric(quantile(load.finishes, 0.5), "finish-p50-ms")
	b.ReportMetric(quantile(load.finishes, 0.99), "finish-p99-ms")
}

// BenchmarkRetained measures the cost of a retained claim: memory of the holder, bytes
// in the platform, and recovery time.
func BenchmarkRetained(b *testing.B) {
	const claims = 20_000
	for _, body := range []int{0, 256} {
		b.Run(fmt.Sprintf("body=%dB", body), func(b *testing.B) {
			policy := DefaultPolicy()
			policy.Segments = 4096
			for range b.N {
				measureRetained(b, policy, claims, make([]byte, body))
			}
		})
	}
}

func measureRetained(b *testing.B, policy Policy, claims int, body []byte) {
	harness := newRingHarness(b, policy)
	for n := range claims {
		harness.begin(keyNumber(n), attemptNumber(n), "")
		if n%10 == 9 {
			harness.write()
		}
		if n >= 50 {
			harness.finish(keyNumber(n-50), attemptNumber(n-50), phaseRecorded, body)
		}
	}
	harness.write()
	stored := 0
	for _, entry := range harness.entries {
		stored += len(entry.Value)
	}
	encoded := harness.ring.bytes
	harness.ring = nil
	before := heap()
	start := time.Now()
	harness.recover(policy, 2)
	took := time.Since(start)
	used := heap() - before
	b.ReportMetric(float64(used)/float64(claims), "heap-B/claim")
	b.ReportMetric(float64(encoded)/float64(claims), "record-B/claim")
	b.ReportMetric(float64(stored)/float64(claims), "stored-B/claim")
	b.ReportMetric(took.Seconds()*1e6/float64(claims), "recover-us/claim")
	if len(harness.ring.index) != claims {
		b.Fatalf("%d claims after recovery", len(harness.ring.index))
	}
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkRing measures beginning and finishing one claim in memory, in batches of ten.
func BenchmarkRing(b *testing.B) {
	policy := DefaultPolicy()
	policy.Segments = 1 << 16
	harness := newRingHarness(b, policy)
	body := make([]byte, 256)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		attempt := uuid.UUID{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)}
		harness.begin(keyNumber(n), attempt, "")
		harness.finish(keyNumber(n), attempt, phaseRecorded, body)
		if n%10 == 9 {
			harness.write()
		}
	}
}
