package pathcost

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sample is one way's figures.
type Sample struct {
	Requests int
	Failed   int
	// Tokens is the number of streamed tokens received.
	Tokens int
	// FirstP50 to AnswerP99 are latencies from the due time of the arrival.
	FirstP50, FirstP99   time.Duration
	AnswerP50, AnswerP99 time.Duration
	// CPU is the processor time of the whole process, stand-ins and load
	// included.
	CPU time.Duration
	// Allocations and AllocatedBytes are the whole process's.
	Allocations    uint64
	AllocatedBytes uint64
	Elapsed        time.Duration
}

// latencies collects one way's latencies in microseconds.
type latencies struct {
	first  *hdrhistogram.Histogram
	answer *hdrhistogram.Histogram
}

const (
	maxMicros         = 120_000_000
	significantDigits = 3
)

func newLatencies() *latencies {
	return &latencies{
		first:  hdrhistogram.New(1, maxMicros, significantDigits),
		answer: hdrhistogram.New(1, maxMicros, significantDigits),
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
