package ratelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRate is the lowest rate of permits, in permits per second. Without any request
	// nodes would not learn that the replica raised or lifted its limit.
	minRate = 0.1
	// burstWindow is how long unused permits accumulate, since requests arrive unevenly. For each
	// permit that is lost another replica must take a request.
	burstWindow = time.Second
)

// Issuer issues permits for the replicas that this node is responsible for. It is safe for
// concurrent use.
type Issuer struct {
	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// NewIssuer returns an issuer. Its buckets start empty.
func NewIssuer() *Issuer { return &Issuer{buckets: make(map[string]*rate.Limiter)} }

// Grant is the result of a permit request.
type Grant struct {
	Granted bool
	// Issuer is the name of the issuing node.
	Issuer string
	// RetryAfter is the time until the next permit may be available, if none was granted.
	RetryAfter time.Duration
}

// Issue grants a permit if the replica's token bucket has one. The bucket is filled at share
// times the limit's rate.
func (i *Issuer) Issue(now time.Time, l Limit, share float64) Grant {
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.bucket(now, l.Replica, max(l.PerSecond*share, minRate))
	if b.AllowN(now, 1) {
		return Grant{Granted: true}
	}
	missing := 1 - b.TokensAt(now)
	return Grant{RetryAfter: time.Duration(missing / float64(b.Limit()) * float64(time.Second))}
}

// Forget removes the bucket of a deregistered replica.
func (i *Issuer) Forget(replica string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.buckets, replica)
}

// bucket returns the replica's bucket with its rate updated. A new bucket starts empty, since
// another node may have issued permits just before. The lock is held.
func (i *Issuer) bucket(now time.Time, replica string, perSecond float64) *rate.Limiter {
	burst := 1 + int(perSecond*burstWindow.Seconds())
	b, ok := i.buckets[replica]
	if !ok {
		b = rate.NewLimiter(rate.Limit(perSecond), burst)
		b.AllowN(now, burst)
		i.buckets[replica] = b
		return b
	}
	if b.Limit() != rate.Limit(perSecond) {
		b.SetLimitAt(now, rate.Limit(perSecond))
		b.SetBurstAt(now, burst)
	}
	return b
}
