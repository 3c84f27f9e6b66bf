package ratelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// leastRate is the permits a second for a replica that names less: without any
	// request nobody would learn that it takes more again.
	leastRate = 0.1
	// keptFor is the time for which permits that nobody asked for are kept: requests come
	// unevenly, and a permit that is lost is a request that another replica must take.
	keptFor = time.Second
)

// Issuer gives out the permits of the replicas for which this node is responsible. It is
// safe for concurrent use.
type Issuer struct {
	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// NewIssuer returns an issuer that begins without any permit to give.
func NewIssuer() *Issuer { return &Issuer{buckets: make(map[string]*rate.Limiter)} }

// Grant is the answer to an ask for a permit.
type Grant struct {
	Granted bool
	// Issuer is the name of the node that answered.
	Issuer string
	// RetryAfter is when the next permit may be there, where none is given.
	RetryAfter time.Duration
}

// Issue gives a permit if one is left of the limit's rate, of which this node may use a
// share.
func (i *Issuer) Issue(now time.Time, l Limit, share float64) Grant {
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.bucket(now, l.Replica, max(l.PerSecond*share, leastRate))
	if b.AllowN(now, 1) {
		return Grant{Granted: true}
	}
	missing := 1 - b.TokensAt(now)
	return Grant{RetryAfter: time.Duration(missing / float64(b.Limit()) * float64(time.Second))}
}

// Forget drops the bucket of a replica that is gone.
func (i *Issuer) Forget(replica string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.buckets, replica)
}

// bucket is the replica's, filled at the rate. A new one is empty: another node may have
// issued permits just before. The lock is held.
func (i *Issuer) bucket(now time.Time, replica string, perSecond float64) *rate.Limiter {
	burst := 1 + int(perSecond*keptFor.Seconds())
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
