package eventlog

import (
	"io"
	"testing"
)

// placed is an event with as many fields as the largest routine one.
type placed struct{}

func (placed) Name() string { return "attempt_started" }
func (placed) Level() Level { return Routine }
func (placed) Fields() Fields {
	return Fields{
		"request": "f70fa5b4b5a3213c", "route": "r-tjkdge2", "upstream": "dada68b",
		"replica": "i-92e60bf053", "peer": "127.0.0.1:8723", "attempt": 1, "rank": 5, "workspace": "shop",
		"cost_ms": 202, "wait_ms": int64(183), "memory_used": 0.03, "among": 60, "running": 12, "prefill": 9190,
		"cached": 6300, "failures": 0.25, "replicas_revision": int64(131),
	}
}

// BenchmarkLine is the cost of one line past the limit of lines a second, the
// writing out not counted.
func BenchmarkLine(b *testing.B) {
	l := New(io.Discard, "vm-1")
	b.ReportAllocs()
	for b.Loop() {
		l.write(placed{})
		l.writer.buffer = l.writer.buffer[:0]
	}
}
