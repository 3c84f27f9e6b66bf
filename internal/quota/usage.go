package quota

import (
	"fmt"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

// defaultBurst is the bucket capacity in seconds of the rate.
const defaultBurst = 2

// minShare replaces smaller shares, because a bucket with a rate of zero has no
// limit.
const minShare = 0.001

// usage is the quota state of one workspace at this node.
type usage struct {
	quota    config.Quota
	share    float64
	requests bucket
	tokens   bucket
	// meanAnswer is the moving average of answer lengths in tokens, 0 before the
	// first answer.
	meanAnswer float64
	demand     demand
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
	share := max(u.share, minShare)
	u.requests.setRate(now, u.quota.RequestsPerSecond*share, burst)
	u.tokens.setRate(now, u.quota.TokensPerSecond*share, burst)
}

// takeOrRefuse charges one request and its tokens, or returns a refusal. Either
// way the request counts as demand.
func (u *usage) takeOrRefuse(now time.Time, workspace string, tokens float64) *refusal.Error {
	u.demand.record(u, tokens)
	wait := u.take(now, tokens)
	if wait <= 0 {
		return nil
	}
	message := fmt.Sprintf("workspace %s has used up its quota", workspace)
	refused := refusal.New(refusal.QuotaExceeded, stepQuota, message)
	refused.RetryAfter = wait
	return refused
}

// take charges one request and its tokens and returns 0, or charges nothing and
// returns how long to wait.
func (u *usage) take(now time.Time, tokens float64) time.Duration {
	wait := max(u.requests.wait(now, 1), u.tokens.wait(now, tokens))
	if wait > 0 {
		return wait
	}
	u.requests.take(1)
	u.tokens.take(tokens)
	return 0
}
