package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms take times in microseconds up to an hour.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// classCount counts the results of one class.
type classCount struct {
	class          Class
	offered        int
	answered       int
	onTarget       int
	onTargetTokens int64
	tokens         int64
	resent         int
	endings        map[string]int
	firstToken     *hdrhistogram.Histogram
	answer         *hdrhistogram.Histogram
}

func newClassCount(class Class) *classCount {
	return &classCount{
		class:      class,
		endings:    make(map[string]int),
		firstToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		answer:     hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (c *classCount) add(result *Result) {
	c.resent += result.Attempts - 1
	if !result.answered() {
		c.endings[result.label()]++
		return
	}
	c.answered++
	c.tokens += int64(result.Tokens)
	record(c.firstToken, result.FirstToken)
	record(c.answer, result.Answer)
	if c.class.onTarget(result.FirstToken, result.Answer) {
		c.onTarget++
		c.onTargetTokens += int64(result.Tokens)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is inside the histogram's bounds, so that this cannot fail.
	_ = h.RecordValue(min(max(1, d.Microseconds()), histogramMax))
}
