package retry

import (
	"sync/atomic"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

const (
	defaultRatio       = 0.1
	defaultMaxAttempts = 3
	// maxNotRun bounds a request's attempts that did not run; they are not
	// counted by Limits.MaxAttempts.
	maxNotRun = 8
	// retryAfter is what a refused caller is told to wait.
	retryAfter = time.Second
	step       = "retry"
)

// Policy decides on retries and hedges. It is safe for concurrent use.
type Policy struct {
	limits    atomic.Pointer[config.Limits]
	budget    *budget
	latencies *latencies
}

// NewPolicy returns a policy with the limits.
func NewPolicy(limits config.Limits) *Policy {
	p := &Policy{budget: newBudget(), latencies: newLatencies()}
	p.SetLimits(limits)
	return p
}

// SetLimits puts new limits in force; zero values mean the defaults.
func (p *Policy) SetLimits(limits config.Limits) {
	if limits.RetryBudget == 0 {
		limits.RetryBudget = defaultRatio
	}
	if limits.MaxAttempts == 0 {
		limits.MaxAttempts = defaultMaxAttempts
	}
	p.limits.Store(&limits)
}

// RecordSuccess feeds the budget with one whole answer.
func (p *Policy) RecordSuccess(now time.Time, class, upstream string) {
	p.budget.succeeded(now, budgetKey{class, upstream})
}

// Decide says what to do after the attempt failed. An added attempt is charged
// to the budget at once.
func (p *Policy) Decide(now time.Time, a Attempt) Decision {
	limits := p.limits.Load()
	if refused := refuse(a, limits.MaxAttempts); refused != nil {
		return giveUp(a, *refused)
	}
	if !p.budget.take(now, budgetKey{a.Class, a.Upstream}, limits.RetryBudget, a.Result == NotRun) {
		return giveUp(a, refusal.Error{
			Reason: refusal.RetryBudgetSpent, Message: "the retry budget is spent", RetryAfter: retryAfter,
		})
	}
	if a.DeliveredTokens > 0 {
		return Decision{Action: Continue, Reason: reasonOf(a)}
	}
	return Decision{Action: Retry, Reason: reasonOf(a)}
}

// refuse returns why the request may not go on, or nil. The order matters: what
// may have run and must not run twice is told first.
func refuse(a Attempt, maxAttempts int) *refusal.Error {
	switch {
	case !a.Repeatable && a.mayHaveRun():
		return &refusal.Error{Reason: refusal.OutcomeUnknown, Message: "the call may have run and is not repeated"}
	case a.Result == Rejected:
		return &refusal.Error{Reason: refusal.UpstreamRefused, Message: "the upstream rejected the request"}
	case a.DeliveredTokens > 0 && !a.Continuable:
		return &refusal.Error{Reason: refusal.UpstreamFailed, Message: "the answer broke off and cannot be continued"}
	case a.Remaining <= a.MinDuration:
		return &refusal.Error{Reason: exhausted(a), Message: "no time is left for another attempt"}
	case a.ran() >= maxAttempts || a.Number-a.ran() >= maxNotRun:
		return &refusal.Error{Reason: exhausted(a), Message: "all attempts failed", RetryAfter: retryAfter}
	default:
		return nil
	}
}

// exhausted is the reason told where no further attempt is made.
func exhausted(a Attempt) refusal.Reason {
	switch a.Result {
	case NotRun:
		return refusal.UpstreamRefused
	case TimedOut:
		return refusal.UpstreamTimeout
	default:
		return refusal.UpstreamFailed
	}
}

// giveUp completes the refusal with what is proved of the whole request.
func giveUp(a Attempt, refused refusal.Error) Decision {
	refused.Step = step
	refused.Peer = a.Peer
	refused.Outcome = refusal.NotRun
	if a.mayHaveRun() {
		refused.Outcome = refusal.Unknown
	}
	return Decision{Action: GiveUp, Refusal: &refused}
}
