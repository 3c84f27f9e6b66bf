package ratelimit

import (
	"context"
	"sync"
	"time"

	"galenatrestle/internal/replica"
)

const (
	// minPause is the shortest time without permit requests for a replica after one was
	// refused.
	minPause = 100 * time.Millisecond
	// unansweredPause is the time without permit requests for a replica after the issuer
	// did not respond, or the node asked does not issue permits for the replica.
	unansweredPause = 250 * time.Millisecond
)

// Permits acquires permits for this node's requests. It is safe for concurrent use.
type Permits struct {
	table   *Table
	acquire AcquireFunc

	mu sync.Mutex
	// pausedUntil is the time before which no permit is requested, by replica.
	pausedUntil map[string]time.Time
}

// AcquireFunc requests a permit under the limit from the replica's issuer.
type AcquireFunc func(ctx context.Context, l Limit) (Grant, error)

// AcquireResult is the result of Permits.Acquire.
type AcquireResult struct {
	// Limit is the limit in force, and Age the time since the response that carried it.
	Limit Limit
	Age   time.Duration
	Grant Grant
	// Err is why the issuer did not respond.
	Err error
}

// Granted reports whether the request may be sent.
func (a *AcquireResult) Granted() bool { return a.Err == nil && a.Grant.Granted }

// NewPermits returns a Permits for the limits of the table. Call SetAcquireFunc before use.
func NewPermits(table *Table) *Permits {
	return &Permits{table: table, pausedUntil: make(map[string]time.Time)}
}

// SetAcquireFunc sets the function that requests permits. Call it before the first Acquire.
func (p *Permits) SetAcquireFunc(acquire AcquireFunc) { p.acquire = acquire }

// Limits returns the limits in force by replica ID, nil for none. The map is shared and must
// not be modified.
func (p *Permits) Limits() map[string]Limit { return p.table.InForce() }

// IsLimited reports whether the limits contain one for this process of the replica.
func IsLimited(limits map[string]Limit, r *replica.Replica) bool {
	if len(limits) == 0 {
		return false
	}
	l, limited := limits[r.ID]
	return limited && l.StartedAt == r.StartedAt
}

// NextAttemptAt returns the earliest time at which a permit for the replica may be requested. A
// time in the past means now.
func (p *Permits) NextAttemptAt(replica string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedUntil[replica]
}

// Acquire acquires a permit for one request to the replica, which must be sent immediately.
// If none is granted, NextAttemptAt moves into the future. A replica without a limit in force
// needs no permit: the result is then granted without a request to the issuer.
func (p *Permits) Acquire(ctx context.Context, now time.Time, r *replica.Replica) AcquireResult {
	limits := p.table.InForce()
	if !IsLimited(limits, r) {
		return AcquireResult{Grant: Grant{Granted: true}}
	}
	l := limits[r.ID]
	result := AcquireResult{Limit: l, Age: p.table.Now().Sub(l.ObservedAt)}
	result.Grant, result.Err = p.acquire(ctx, l)
	switch {
	case result.Err != nil:
		p.pause(r.ID, now.Add(unansweredPause))
	case !result.Grant.Granted:
		p.pause(r.ID, now.Add(max(result.Grant.RetryAfter, minPause)))
	}
	return result
}

func (p *Permits) pause(replica string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil[replica] = until
}

// Forget removes the state of a deregistered replica.
func (p *Permits) Forget(replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pausedUntil, replica)
}
