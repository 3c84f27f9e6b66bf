package answer

import (
	"runtime"
	"strings"
	"testing"
	"time"
)

// chunkBytes is about the size of one token's chunk.
const chunkBytes = 230

// BenchmarkAppend keeps answers of 500 tokens; a lap is one token.
func BenchmarkAppend(b *testing.B) {
	s := NewStore(Options{})
	data := []byte(strings.Repeat("x", chunkBytes))
	var r *Record
	b.ReportAllocs()
	for i := range b.N {
		if i%500 == 0 {
			r, _ = s.Open(start, Meta{ID: NewRequestID("n"), Retention: time.Minute})
		}
		_ = r.Append(start, 1, int64(i%500)+1, data)
		if i%500 == 499 {
			_ = r.Finish(start, 1, 500)
		}
	}
}

// BenchmarkMemory compares what a kept token takes with what it is accounted
// for, in bytes.
func BenchmarkMemory(b *testing.B) {
	const answers, tokens = 200, 500
	chunks := make([][]byte, tokens)
	for i := range chunks {
		chunks[i] = []byte(chunk(i))
	}
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := NewStore(Options{})
		for range answers {
			r, err := s.Open(start, Meta{ID: NewRequestID("n"), Retention: time.Minute})
			if err != nil {
				b.Fatal(err)
			}
			for i := range int64(tokens) {
				_ = r.Append(start, 1, i+1, chunks[i])
			}
			_ = r.Finish(start, 1, tokens)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/answers/tokens, "heap-B/token")
		b.ReportMetric(float64(s.Used())/answers/tokens, "accounted-B/token")
	}
}
