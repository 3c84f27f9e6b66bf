package quota

import (
	"fmt"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

// defaultBurst is the seconds of use that may be taken at once.
const defaultBurst = 2

// leastShare takes the place of smaller shares: a rate of zero would mean that
// nothing is bounded.
const leastShare = 0.001

// usage is one workspace's use at this node.
type usage struct {
	quota    config.Quota
	share    float64
	requests bucket
	tokens   bucket
	// answer is the mean length of an answer, 0 before the first.
	answer float64
	demand demand
}

func (u *usage) setShare(now time.Time, share float64) {
	if u.share == share {
		return
	}
	u.share = share
	u.apply(now)
}

func (u *usage) apply(now time.Time) {
	burst := u.quota.Burst
	if burst <= 0 {
		burst = defaultBurst
	}
	share := max(u.share, leastShare)
	u.requests.set(now, u.quota.RequestsPerSecond*share, burst)
	u.tokens.set(now, u.quota.TokensPerSecond*share, burst)
}

// takeOrRefuse takes one request and its tokens, and counts them as asked for.
func (u *usage) takeOrRefuse(now time.Time, workspace string, tokens float64) *refusal.Error {
	u.demand.note(u, tokens)
	wait := u.take(now, tokens)
	if wait <= 0 {
		return nil
	}
	message := fmt.Sprintf("workspace %s has used up its quota", workspace)
	refused := refusal.New(refusal.QuotaExceeded, stepQuota, message)
	refused.RetryAfter = wait
	return refused
}

// take takes one request and its tokens, or returns how long to wait.
func (u *usage) take(now time.Time, tokens float64) time.Duration {
	wait := max(u.requests.wait(now, 1), u.tokens.wait(now, tokens))
	if wait > 0 {
		return wait
	}
	u.requests.take(1)
	u.tokens.take(tokens)
	return 0
}
