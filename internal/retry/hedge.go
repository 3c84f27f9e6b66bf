package retry

import "time"

const (
	// hedgeQuantile of the observed first token times must have passed before
	// a hedge, so that about one request in twenty asks for one.
	hedgeQuantile = 0.95
	// patienceFactor times the same quantile, and leastPatience at the least,
	// is when an attempt without a token is held to hang.
	patienceFactor = 10
	leastPatience  = 2 * time.Second
	// hedgeTier is the only tier that may hedge.
	hedgeTier = 0
)

// HedgeCandidate tells of a request whose only attempt has brought no token yet.
type HedgeCandidate struct {
	Class    string
	Upstream string
	Tier     int
	// Allowed is the class's setting.
	Allowed bool
	// Repeatable says that running the call twice does no harm.
	Repeatable bool
	// Waited is the time since the attempt was sent.
	Waited time.Duration
	// Remaining is the time until an answer is of no more use.
	Remaining time.Duration
	// Attempts in flight and those before.
	Attempts int
}

// ObserveFirstToken adds the time from sending an attempt to its first token.
func (p *Policy) ObserveFirstToken(now time.Time, class, upstream string, d time.Duration) {
	p.latencies.observe(now, budgetKey{class, upstream}, d)
}

// HedgeDelay returns how long to wait for the first token before asking
// ShouldHedge, or false where no hedge is to be made.
func (p *Policy) HedgeDelay(h HedgeCandidate) (time.Duration, bool) {
	if !h.Allowed || !h.Repeatable || h.Tier != hedgeTier || h.Attempts != 1 {
		return 0, false
	}
	after, known := p.latencies.quantile(budgetKey{h.Class, h.Upstream}, hedgeQuantile)
	if !known || after >= h.Remaining+h.Waited {
		return 0, false
	}
	return after, true
}

// FirstTokenTimeout returns the longest that an attempt may stay without its first
// token before it is given up as hanging; zero where too little is known.
func (p *Policy) FirstTokenTimeout(class, upstream string) time.Duration {
	late, known := p.latencies.quantile(budgetKey{class, upstream}, hedgeQuantile)
	if !known {
		return 0
	}
	return max(patienceFactor*late, leastPatience)
}

// ShouldHedge says whether to start a second attempt now. A yes is charged to
// the retry budget at once.
func (p *Policy) ShouldHedge(now time.Time, h HedgeCandidate) bool {
	after, allowed := p.HedgeDelay(h)
	if !allowed || h.Waited < after {
		return false
	}
	ratio := p.limits.Load().RetryBudget
	return p.budget.take(now, budgetKey{h.Class, h.Upstream}, ratio, false)
}
