package retry

import "time"

const (
	// hedgeQuantile of the first-token times is the delay before a hedge.
	hedgeQuantile = 0.95
	// firstTokenTimeoutFactor times that quantile is the first-token timeout.
	firstTokenTimeoutFactor = 10
	minFirstTokenTimeout    = 2 * time.Second
	// hedgeTier is the only tier whose requests are hedged.
	hedgeTier = 0
)

// HedgeCandidate describes a request whose only attempt has not produced a token yet.
type HedgeCandidate struct {
	Class    string
	Upstream string
	Tier     int
	// Allowed is the class's hedging setting.
	Allowed bool
	// Repeatable reports that running the call twice is safe.
	Repeatable bool
	// Waited is the time since the attempt was sent.
	Waited time.Duration
	// Remaining is the time until an answer is no longer useful.
	Remaining time.Duration
	// Attempts is the number of attempts so far, including those in flight.
	Attempts int
}

// ObserveFirstToken records the time from sending an attempt to its first token.
func (p *Policy) ObserveFirstToken(now time.Time, class, upstream string, d time.Duration) {
	p.latencies.observe(now, budgetKey{class, upstream}, d)
}

// HedgeDelay returns how long to wait for the first token before calling ShouldHedge, or false
// if the request must not be hedged, the samples are too few, or too little time is left.
func (p *Policy) HedgeDelay(h HedgeCandidate) (time.Duration, bool) {
	if !h.Allowed || !h.Repeatable || h.Tier != hedgeTier || h.Attempts != 1 {
		return 0, false
	}
	delay, known := p.latencies.quantile(budgetKey{h.Class, h.Upstream}, hedgeQuantile)
	if !known || delay >= h.Remaining+h.Waited {
		return 0, false
	}
	return delay, true
}

// FirstTokenTimeout returns how long an attempt may take to its first token, or zero if there
// are too few samples.
func (p *Policy) FirstTokenTimeout(class, upstream string) time.Duration {
	firstTokenTime, known := p.latencies.quantile(budgetKey{class, upstream}, hedgeQuantile)
	if !known {
		return 0
	}
	return max(firstTokenTimeoutFactor*firstTokenTime, minFirstTokenTimeout)
}

// ShouldHedge reports whether to start a second attempt now. If so, it charges the hedge to
// the retry budget.
func (p *Policy) ShouldHedge(now time.Time, h HedgeCandidate) bool {
	delay, allowed := p.HedgeDelay(h)
	if !allowed || h.Waited < delay {
		return false
	}
	ratio := p.limits.Load().RetryBudget
	return p.budget.tryTake(now, budgetKey{h.Class, h.Upstream}, ratio, false)
}
