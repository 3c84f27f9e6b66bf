package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what a run measured.
type Report struct {
	Workload string        `json:"workload"`
	Seed     uint64        `json:"seed"`
	Classes  []ClassReport `json:"classes"`
	// Seconds is the time from the start to the last end.
	Seconds float64 `json:"seconds"`
	// Demand is the tokens a second that the plan asks for.
	Demand float64 `json:"demand_tokens_per_second"`
	// Goodput is tokens on target per second.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// GeneratedTokens are those the stand-ins made; zero where their run lists
	// were not read.
	GeneratedTokens int64 `json:"generated_tokens,omitempty"`
	// WastedShare is the part of GeneratedTokens that no caller got in a whole
	// answer, LateShare the part in whole answers off target; both are absent
	// where the run lists were not read.
	WastedShare *float64 `json:"wasted_share,omitempty"`
	LateShare   *float64 `json:"late_share,omitempty"`
	// UncheckedRuns counts runs that the stand-ins' lists have lost.
	UncheckedRuns int64 `json:"unchecked_runs,omitempty"`
	// LateMillis is the most that a request was sent after its planned time;
	// when it is large the tool itself was too slow.
	LateMillis float64     `json:"late_millis"`
	Violations []Violation `json:"violations"`
}

// ClassReport is what one class got.
type ClassReport struct {
	Class    string `json:"class"`
	Tier     int    `json:"tier"`
	Offered  int    `json:"offered"`
	Answered int    `json:"answered"`
	OnTarget int    `json:"on_target"`
	// Attainment is OnTarget of Offered.
	Attainment float64 `json:"attainment"`
	Resent     int     `json:"resent"`
	// Shed counts what was not answered, by reason or ending.
	Shed       map[string]int `json:"shed"`
	FirstToken Quantiles      `json:"first_token_millis"`
	Answer     Quantiles      `json:"answer_millis"`
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Report returns what was measured until now; truth may be nil.
func (c *Collector) Report(truth *Truth) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := time.Since(c.started).Seconds()
	report := &Report{
		Workload: c.workload.Name, Seed: c.workload.Seed, Seconds: elapsed,
		Demand:     float64(c.wanted) / c.workload.Duration.Std().Seconds(),
		LateMillis: float64(c.late.Microseconds()) / 1000,
	}
	var onTarget, answered int64
	for _, class := range c.workload.Classes {
		count := c.classes[class.Name]
		report.Classes = append(report.Classes, count.report())
		onTarget += count.onTargetTokens
		answered += count.tokens
	}
	report.Goodput = float64(onTarget) / elapsed
	if truth != nil && truth.Tokens > 0 {
		wasted := 1 - float64(answered)/float64(truth.Tokens)
		late := float64(answered-onTarget) / float64(truth.Tokens)
		report.GeneratedTokens = truth.Tokens
		report.WastedShare, report.LateShare = &wasted, &late
		report.UncheckedRuns = truth.Dropped
	}
	report.Violations = violations(report.Classes, c.results, truth)
	return report
}

func (c *classCount) report() ClassReport {
	report := ClassReport{
		Class: c.class.Name, Tier: c.class.Tier, Offered: c.offered, Answered: c.answered,
		OnTarget: c.onTarget, Resent: c.resent, Shed: c.endings,
		FirstToken: quantiles(c.firstToken), Answer: quantiles(c.answer),
	}
	if c.offered > 0 {
		report.Attainment = float64(c.onTarget) / float64(c.offered)
	}
	return report
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: millis(50), P95: millis(95), P99: millis(99)}
}
