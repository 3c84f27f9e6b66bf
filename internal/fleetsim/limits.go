package fleetsim

import (
	"context"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/fairshare"
	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

// limit has engines name rates as the scenario says. All nodes know of them at once.
func (f *fleet) limit(now time.Duration) {
	for _, l := range f.scenario.RateLimits {
		if l.At != now {
			continue
		}
		for _, i := range f.random.Perm(len(f.engines))[:l.Engines] {
			named := ratelimit.Observation{
				Replica: replica.Replica{ID: f.engines[i].id}, Limited: true, PerSecond: l.PerSecond, ReceivedAt: boottime.Instant(now + 1),
			}
			for _, n := range f.nodes {
				n.limits.Observe(named)
			}
		}
	}
}

// limitedRetryAfter is when a caller comes back for whom no engine had a permit.
const limitedRetryAfter = 400 * time.Millisecond

// permitted gets a permit for an attempt that needs one.
func (f *fleet) permitted(n *node, at time.Time, a *placement.Attempt) bool {
	if !a.NeedsPermit {
		return true
	}
	n.permits.SetAcquireFunc(func(_ context.Context, ask ratelimit.Ask) (ratelimit.Grant, error) {
		return f.issuer.Issue(at, ask.Limit, 1), nil
	})
	if asked := n.permits.Acquire(context.Background(), at, &a.Replica, ratelimit.Urgency{}); !asked.Granted() {
		return false
	}
	a.PermitGranted(at)
	return true
}

// admit is the node's decision whether the call may begin.
func (n *node) admit(at time.Time, c *call, rank int, standing fairshare.Standing, left time.Duration, choice *placement.Choice) overload.Decision {
	request := overload.Request{
		Rank: rank, Objective: c.class.Objective, TimeLeft: left,
		QueueTime: choice.FirstTokenTime - choice.OwnPrefill, OwnPrefill: choice.OwnPrefill, MemoryUsed: choice.MemoryFraction,
		Share: standing.Share,
	}
	decision := n.decide(at, c, request)
	n.observe(at, c, choice, &request, decision.Refused())
	return decision
}
