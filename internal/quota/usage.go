package quota

import (
	"time"

	"galenatrestle/internal/config"
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
