package routertest

import (
	"slices"

	"galenatrestle/internal/refusal"
)

// Outcome is the result of a run.
type Outcome struct {
	Classes []ClassOutcome
	// GoodTokens are those of completed answers; WastedTokens are those of requests that timed out
	// while they ran.
	GoodTokens   int
	WastedTokens int
	// GoodTokensDuringArrivals excludes answers completed after Scenario.Duration.
	GoodTokensDuringArrivals int
	Refused                  int
	// RefusedWait sums the waiting times of refused requests, as fractions of their time limits.
	RefusedWait float64
	// Capacity is the tokens that the replicas can generate during Scenario.Duration.
	Capacity float64
}

// ClassOutcome is the result for one class.
type ClassOutcome struct {
	Name     string
	Offered  int
	Answered int
	// OnTarget counts the requests answered by their AnswerBy.
	OnTarget int
	// TimedOut requests were running when their caller gave up.
	TimedOut int
	Refused  map[refusal.Reason]int
	// timeout and latencies are in seconds.
	timeout   float64
	latencies []float64
}

// Attainment is the fraction of the offered requests answered within their target.
func (c *ClassOutcome) Attainment() float64 {
	return float64(c.OnTarget) / float64(max(c.Offered, 1))
}

// LatencyQuantile is in seconds, over all offered requests. Those not answered count with the
// time limit of the class.
func (c *ClassOutcome) LatencyQuantile(q float64) float64 {
	slices.Sort(c.latencies)
	i := int(q * float64(c.Offered-1))
	if i < len(c.latencies) {
		return c.latencies[i]
	}
	return c.timeout
}

// Goodput is GoodTokensDuringArrivals as a fraction of Capacity.
func (o *Outcome) Goodput() float64 {
	return float64(o.GoodTokensDuringArrivals) / o.Capacity
}

// WastedFraction is WastedTokens as a fraction of GoodTokens and WastedTokens together.
func (o *Outcome) WastedFraction() float64 {
	return float64(o.WastedTokens) / float64(max(o.WastedTokens+o.GoodTokens, 1))
}
