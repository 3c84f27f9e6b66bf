package ratelimit

import (
	"context"
	"sync"
	"time"

	"galenatrestle/internal/replica"
)

const (
	// leastPause is the time before a replica is considered again for which a permit was
	// refused.
	leastPause = 100 * time.Millisecond
	// unansweredPause is that time where the issuer did not answer.
	unansweredPause = 250 * time.Millisecond
)

// Permits gets the permits for this node's requests. It is safe for concurrent use.
type Permits struct {
	table *Table
	ask   AcquireFunc

	mu sync.Mutex
	// pausedTill is until when no permit of a replica is asked for.
	pausedTill map[string]time.Time
}

// AcquireFunc asks the replica's issuer for a permit under the limit.
type AcquireFunc func(ctx context.Context, l Limit) (Grant, error)

// AcquireResult is what came of an ask for a permit.
type AcquireResult struct {
	// Limit is what was asked under, Age the time since the answer that named it.
	Limit Limit
	Age   time.Duration
	Grant Grant
	// Err says why the issuer did not answer.
	Err error
}

// Granted says whether there is a permit.
func (a *AcquireResult) Granted() bool { return a.Err == nil && a.Grant.Granted }

// NewPermits returns permits for the limits of the table.
func NewPermits(table *Table) *Permits {
	return &Permits{table: table, pausedTill: make(map[string]time.Time)}
}

// SetAcquireFunc gives the way to the issuers. It is called before the first Acquire.
func (p *Permits) SetAcquireFunc(ask AcquireFunc) { p.ask = ask }

// Limits is the limits in force by the replicas' identities, nil for none. The map is shared
// and not to be changed.
func (p *Permits) Limits() map[string]Limit { return p.table.InForce() }

// IsLimited says whether the limits have one of this process of a replica.
func IsLimited(limits map[string]Limit, r *replica.Replica) bool {
	if len(limits) == 0 {
		return false
	}
	l, limited := limits[r.ID]
	return limited && l.StartedAt == r.StartedAt
}

// NextAttemptAt is from when on a permit of the replica may be asked for; one that is not after now
// stands for now.
func (p *Permits) NextAttemptAt(replica string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedTill[replica]
}

// Acquire gets a permit for one request to the replica, which is to be sent at once. Where
// there is none, the replica is left alone for a while. One whose limit was lifted just now
// needs none, and is given without an ask.
func (p *Permits) Acquire(ctx context.Context, now time.Time, r *replica.Replica) AcquireResult {
	limits := p.table.InForce()
	if !IsLimited(limits, r) {
		return AcquireResult{Grant: Grant{Granted: true}}
	}
	l := limits[r.ID]
	asked := AcquireResult{Limit: l, Age: p.table.Now().Sub(l.ObservedAt)}
	asked.Grant, asked.Err = p.ask(ctx, l)
	switch {
	case asked.Err != nil:
		p.pause(r.ID, now.Add(unansweredPause))
	case !asked.Grant.Granted:
		p.pause(r.ID, now.Add(max(asked.Grant.RetryAfter, leastPause)))
	}
	return asked
}

func (p *Permits) pause(replica string, till time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedTill[replica] = till
}

// Forget drops what is known of a replica that is gone.
func (p *Permits) Forget(replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pausedTill, replica)
}
