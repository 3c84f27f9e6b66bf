package router

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"galenatrestle/internal/config"
)

func benchPool(replicas int) *Pool {
	list := make([]Replica, 0, replicas)
	for i := range replicas {
		list = append(list, Replica{Name: "r" + strconv.Itoa(i), Slots: 4})
	}
	hour := config.Duration(time.Hour)
	return NewPool(Options{
		Classes:    []config.Class{{Name: "quick", TargetAnswer: hour, GiveUpAfter: hour, QueueBound: 1 << 20}},
		MaxWaiting: 1 << 20, Replicas: list,
	})
}

func benchRequest(id string, now time.Time) Request {
	return Request{
		ID: id, Class: "quick", Workspace: "w", Attempt: 1, Arrived: now, PromptTokens: 100,
		AnswerBy: now.Add(time.Hour), GiveUpAt: now.Add(time.Hour),
		PrefixHashes: []uint64{1, 2, 3, 4},
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, replicas := range []int{20, 350} {
		b.Run(strconv.Itoa(replicas), func(b *testing.B) {
			p := benchPool(replicas)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				p.Submit(now, benchRequest("1", now))
				p.Decide(now)
				p.RecordFirstToken(now, "1")
				p.Finish(now, "1", ResultDone)
			}
		})
	}
}

func BenchmarkTokens(b *testing.B) {
	p := benchPool(20)
	p.Submit(start, benchRequest("1", start))
	p.Decide(start)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.RecordTokens(now, "1", 1)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkBytes reports the memory of a replica with its prefixes, and of a waiting request
// without its strings and slices.
func BenchmarkBytes(b *testing.B) {
	const replicas, requests = 350, 10000
	for b.Loop() {
		before := heapBytes()
		p := benchPool(replicas)
		for i, r := range p.orderedReplicas {
			for n := range uint64(500) {
				r.prefixes.Add([]uint64{uint64(i)<<32 | n})
			}
		}
		withPrefixes := heapBytes()
		for i := range requests {
			p.Submit(start, benchRequest(strconv.Itoa(i), start))
		}
		after := heapBytes()
		b.ReportMetric((withPrefixes-before)/replicas, "bytes/replica")
		b.ReportMetric((after-withPrefixes)/requests, "bytes/waiting")
		runtime.KeepAlive(p)
	}
}
