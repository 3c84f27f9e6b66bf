package routertest

import (
	"slices"

	"galenatrestle/internal/refusal"
)

// Outcome is what a run measured.
type Outcome struct {
	Classes []ClassOutcome
	// GoodTokens are those of whole answers before the caller gave up;
	// WastedTokens all others.
	GoodTokens   int
	WastedTokens int
	// GoodTokensDuringArrivals is the part of GoodTokens that came while requests arrived.
	GoodTokensDuringArrivals int
	// Refused counts the refusals, RefusedWait adds up how long the refused
	// waited, as a part of the time after which they give up.
	Refused     int
	RefusedWait float64
	// Capacity is the tokens the replicas can generate while requests arrive.
	Capacity float64
}

// ClassOutcome is one class's part of an Outcome.
type ClassOutcome struct {
	Name     string
	Offered  int
	Answered int
	OnTarget int
	// TimedOut requests ran when their caller gave up.
	TimedOut int
	Refused  map[refusal.Reason]int
	// longest is the time after which the class's callers give up.
	longest float64
	// seconds from arrival to the whole answer, of the answered ones.
	seconds []float64
}

// Attainment is the part of the offered requests answered on target.
func (c *ClassOutcome) Attainment() float64 {
	return float64(c.OnTarget) / float64(max(c.Offered, 1))
}

// LatencyQuantile returns the answer time in seconds, of all offered requests; those
// that were not answered count as the longest time.
func (c *ClassOutcome) LatencyQuantile(q float64) float64 {
	slices.Sort(c.seconds)
	i := int(q * float64(c.Offered-1))
	if i < len(c.seconds) {
		return c.seconds[i]
	}
	return c.longest
}

// Goodput is the good tokens that came while requests arrived, as a part of
// the capacity.
func (o *Outcome) Goodput() float64 {
	return float64(o.GoodTokensDuringArrivals) / o.Capacity
}

// WastedFraction is the wasted tokens as a part of all tokens generated.
func (o *Outcome) WastedFraction() float64 {
	return float64(o.WastedTokens) / float64(max(o.WastedTokens+o.GoodTokens, 1))
}
