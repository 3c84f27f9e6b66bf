package retry

import (
	"sync/atomic"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

const (
	defaultRetryBudget = 0.1
	defaultMaxAttempts = 3
	// maxNotRun bounds a request's attempts that did not run; Limits.MaxAttempts does not
	// count them.
	maxNotRun  = 8
	retryAfter = time.Second
	step       = "retry"
)

// Policy decides on retries and hedges. It is safe for concurrent use.
type Policy struct {
	limits    atomic.Pointer[config.Limits]
	budget    *budget
	latencies *latencies
}

// NewPolicy returns a policy with the given limits.
func NewPolicy(limits config.Limits) *Policy {
	p := &Policy{budget: newBudget(), latencies: newLatencies()}
	p.SetLimits(limits)
	return p
}

// SetLimits replaces the limits; zero values mean the defaults.
func (p *Policy) SetLimits(limits config.Limits) {
	if limits.RetryBudget == 0 {
		limits.RetryBudget = defaultRetryBudget
	}
	if limits.MaxAttempts == 0 {
		limits.MaxAttempts = defaultMaxAttempts
	}
	p.limits.Store(&limits)
}

// RecordSuccess records a complete answer, which increases the retry budget.
func (p *Policy) RecordSuccess(now time.Time, class, upstream string) {
	p.budget.recordSuccess(now, budgetKey{class, upstream})
}

// Decide returns what to do after a failed attempt. An added attempt is charged to the retry
// budget unless notRunAllowance covers it.
func (p *Policy) Decide(now time.Time, a Attempt) Decision {
	limits := p.limits.Load()
	if refused := refuse(a, limits.MaxAttempts); refused != nil {
		return giveUp(a, *refused)
	}
	if !p.budget.tryTake(now, budgetKey{a.Class, a.Upstream}, limits.RetryBudget, a.Result == NotRun) {
		return giveUp(a, refusal.Error{
			Reason: refusal.RetryBudgetSpent, Message: "retry budget exhausted", RetryAfter: retryAfter,
		})
	}
	if a.DeliveredTokens > 0 {
		return Decision{Action: Continue, Reason: reasonOf(a)}
	}
	return Decision{Action: Retry, Reason: reasonOf(a)}
}

// refuse returns why the request must not be retried, or nil. Unrepeatable calls that may
// have run are checked first, because callers must learn that the outcome is unknown.
func refuse(a Attempt, maxAttempts int) *refusal.Error {
	switch {
	case !a.Repeatable && a.mayHaveRun():
		return &refusal.Error{Reason: refusal.OutcomeUnknown, Message: "the call may have run and is not safe to retry"}
	case a.Result == Rejected:
		return &refusal.Error{Reason: refusal.UpstreamRefused, Message: "the upstream rejected the request"}
	case a.DeliveredTokens > 0 && !a.Continuable:
		return &refusal.Error{Reason: refusal.UpstreamFailed, Message: "the answer ended early and cannot be resumed"}
	case a.Remaining <= a.MinDuration:
		return &refusal.Error{Reason: exhaustedReason(a), Message: "not enough time left for another attempt"}
	case a.possibleRuns() >= maxAttempts || a.Number-a.possibleRuns() >= maxNotRun:
		return &refusal.Error{Reason: exhaustedReason(a), Message: "all attempts failed", RetryAfter: retryAfter}
	default:
		return nil
	}
}

func exhaustedReason(a Attempt) refusal.Reason {
	switch a.Result {
	case NotRun:
		return refusal.UpstreamRefused
	case TimedOut:
		return refusal.UpstreamTimeout
	default:
		return refusal.UpstreamFailed
	}
}

func giveUp(a Attempt, refused refusal.Error) Decision {
	refused.Step = step
	refused.Peer = a.Peer
	refused.Outcome = refusal.NotRun
	if a.mayHaveRun() {
		refused.Outcome = refusal.Unknown
	}
	return Decision{Action: GiveUp, Refusal: &refused}
}
