package pathcost

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestBothWaysAnswerAll checks the measurement itself on a small load.
func TestBothWaysAnswerAll(t *testing.T) {
	o := Options{Rate: 100, Duration: 500 * time.Millisecond, Tokens: 4, Engines: 2}
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]Sample{"direct": report.Direct, "through": report.Through} {
		if s.Requests != 50 || s.Failed != 0 || s.Tokens != 200 {
			t.Errorf("%s: %d requests, %d failed, %d tokens; want 50, 0, 200", name, s.Requests, s.Failed, s.Tokens)
		}
	}
}

// BenchmarkPath prints the whole comparison for short and long answers; run it
// with -bench Path -benchtime 1x.
func BenchmarkPath(b *testing.B) {
	for _, o := range []Options{
		{Rate: 2000, Tokens: 1},
		{Rate: 2000, Tokens: 16},
		{Rate: 500, Tokens: 128},
	} {
		b.Run(fmt.Sprintf("tokens=%d", o.Tokens), func(b *testing.B) { benchmarkPath(b, o) })
	}
}

func benchmarkPath(b *testing.B, o Options) {
	for range b.N {
		report, err := Run(context.Background(), o)
		if err != nil {
			b.Fatal(err)
		}
		var table strings.Builder
		report.Print(&table)
		b.Log(table.String())
		b.ReportMetric(float64(report.AddedCPUPerToken().Microseconds()), "added-us/token")
		b.ReportMetric(float64(report.AddedAnswerP99().Microseconds()), "added-p99-us/request")
	}
}
