package ratelimit

import (
	"context"
	"slices"
	"sync"
	"time"

	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/replica"
)

const (
	// minPause is the shortest time without permit requests for a replica after one was
	// refused.
	minPause = 100 * time.Millisecond
	// minBusyPause is the time without asks for slots by requests that don't wait for one, after a brittle
	// replica had none free. It doubles with each further such ask, up to busyPause: a replica that has
	// room for all is full for moments.
	minBusyPause = 50 * time.Millisecond
	busyPause    = 2 * time.Second
	// minClosing is the shortest time in which no request waits for a slot of a replica after too
	// many others did.
	minClosing = 50 * time.Millisecond
	// unansweredPause is the time without permit requests for a replica after the issuer
	// did not respond, or the node asked does not issue permits for the replica. It doubles with each
	// further request without a response, up to maxUnansweredPause: the issuer may have more to
	// do than it can.
	unansweredPause    = 250 * time.Millisecond
	maxUnansweredPause = time.Second
)

// Permits acquires permits for this node's requests. It is safe for concurrent use.
type Permits struct {
	table   *Table
	acquire AcquireFunc
	slots   *slots
	// issuerOf returns the name of the node that issues the replica's permits.
	issuerOf func(replica string) string

	mu sync.Mutex
	// pausedUntil is the time before which no permit is requested, by replica, and closedUntil that
	// before which no request waits for a slot either.
	pausedUntil, closedUntil map[string]time.Time
	// freeAt is when a slot of a brittle replica may be free, as its issuer told last.
	freeAt map[string]time.Time
	// unanswered is the last pause after a request without a response, by replica, and busy that after an ask for
	// which no slot was free.
	unanswered, busy map[string]time.Duration
}

// Ask is a request for a permit under the limit.
type Ask struct {
	Limit Limit
	// Slot is which slot is asked for; nil: the replica is not brittle.
	Slot *SlotAsk
}

// AcquireFunc requests a permit from the replica's issuer.
type AcquireFunc func(ctx context.Context, ask Ask) (Grant, error)

// Urgency is how urgent a request is.
type Urgency struct {
	// Rank is 0 for the most urgent.
	Rank int
	// Wait is how long the request waits for a slot of a brittle replica.
	Wait time.Duration
}

// AcquireResult is the result of Permits.Acquire.
type AcquireResult struct {
	// Limit is the limit in force, and Age the time since the response that carried it.
	Limit Limit
	Age   time.Duration
	Grant Grant
	// Slot is the ID of the granted slot, to be given back; zero: none.
	Slot uint64
	// Err is why the issuer did not respond.
	Err error
}

// Granted reports whether the request may be sent.
func (a *AcquireResult) Granted() bool { return a.Err == nil && a.Grant.Granted }

// NewPermits returns a Permits for the limits of the table. Call SetAcquireFunc before use.
func NewPermits(table *Table) *Permits {
	return &Permits{table: table, slots: newSlots(), pausedUntil: make(map[string]time.Time), closedUntil: make(map[string]time.Time), freeAt: make(map[string]time.Time), unanswered: make(map[string]time.Duration), busy: make(map[string]time.Duration)}
}

// SetAcquireFunc sets the function that requests permits. Call it before the first Acquire.
func (p *Permits) SetAcquireFunc(acquire AcquireFunc) { p.acquire = acquire }

// SetReportFunc sets this node's name, the function that reports what became of slots, and that which
// names the node that issues a replica's. Call it before the first Acquire.
func (p *Permits) SetReportFunc(self string, report ReportFunc, issuerOf func(replica string) string) {
	p.slots.self, p.slots.report, p.issuerOf = self, report, issuerOf
}

// Limits returns the limits as of now.
func (p *Permits) Limits() Limits { return p.table.Current() }

// NextAttemptAt returns the earliest time at which a permit for the replica may be requested. A
// time in the past means now.
func (p *Permits) NextAttemptAt(replica string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ctxtime.Later(p.pausedUntil[replica], p.closedUntil[replica])
}

// NextWaitAt returns the earliest time at which a request may wait for a slot of the brittle replica.
func (p *Permits) NextWaitAt(replica string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closedUntil[replica]
}

// ExpectedWait returns the time until a slot of the brittle replica may be free, as its issuer told last.
func (p *Permits) ExpectedWait(replica string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.freeAt[replica].Sub(now), 0)
}

// Acquire acquires a permit for one request to the replica, which must be sent immediately.
// If none is granted, NextAttemptAt moves into the future. A replica without a limit in force
// needs no permit: the result is then granted without a request to the issuer.
func (p *Permits) Acquire(ctx context.Context, now time.Time, r *replica.Replica, u Urgency) AcquireResult {
	l, limited := p.Limits().Of(r)
	if !limited {
		return AcquireResult{Grant: Grant{Granted: true}}
	}
	result := AcquireResult{Limit: l, Age: p.table.Now().Sub(l.ObservedAt)}
	switch {
	case !l.Brittle.Brittle:
		result.Grant, result.Err = p.acquire(ctx, Ask{Limit: l})
	case u.Wait > 0:
		result.Slot, result.Grant.Granted = p.await(ctx, r, u)
		return result
	default:
		if !p.acquireSlot(ctx, r, u, &result) {
			p.pauseBehindWaiting(now, r.ID)
			return result
		}
	}
	if ctx.Err() != context.Canceled {
		p.record(now, r.ID, u, &result)
	}
	return result
}

// acquireSlot asks for a slot of a brittle replica without waiting for one. It reports false, and does not ask,
// if requests of this node wait for one: these get what is free first.
func (p *Permits) acquireSlot(ctx context.Context, r *replica.Replica, u Urgency, result *AcquireResult) bool {
	id, ask := p.slots.begin(r.Process())
	if !ask {
		return false
	}
	p.askForSlot(ctx, r, id, u, result)
	p.slots.answered(r.Process(), id, result.Granted(), result.Err != nil)
	if result.Granted() {
		result.Slot = id
	}
	return true
}

// pauseBehindWaiting keeps requests that don't wait from a replica for a moment.
func (p *Permits) pauseBehindWaiting(now time.Time, replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil[replica] = ctxtime.Later(p.pausedUntil[replica], now.Add(minBusyPause))
}

// askForSlot asks the replica's issuer for the slot.
func (p *Permits) askForSlot(ctx context.Context, r *replica.Replica, id uint64, u Urgency, result *AcquireResult) {
	slot := SlotAsk{Node: p.slots.self, ID: id, Slots: r.Slots, Rank: u.Rank, Wait: u.Wait}
	result.Grant, result.Err = p.acquire(ctx, Ask{Limit: result.Limit, Slot: &slot})
}

// record records until when an answer, or the lack of one, keeps requests from the replica.
func (p *Permits) record(now time.Time, replica string, u Urgency, result *AcquireResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result.Err != nil && result.Limit.Brittle.Brittle && u.Wait == 0 {
		// An issuer that is slow may still answer requests that wait.
		p.pausedUntil[replica] = now.Add(busyPause)
		return
	}
	if result.Err != nil {
		p.unanswered[replica] = min(max(2*p.unanswered[replica], unansweredPause), maxUnansweredPause)
		p.closedUntil[replica] = now.Add(p.unanswered[replica])
		return
	}
	delete(p.unanswered, replica)
	retryAfter := result.Grant.RetryAfter
	if result.Limit.Brittle.Brittle {
		p.freeAt[replica] = now.Add(retryAfter)
	}
	switch {
	case result.Grant.Granted && u.Wait == 0:
		delete(p.busy, replica)
	case result.Grant.Granted:
	case !result.Limit.Brittle.Brittle:
		p.pausedUntil[replica] = now.Add(max(retryAfter, minPause))
	case u.Wait > 0:
		p.closedUntil[replica] = now.Add(max(retryAfter, minClosing))
	default:
		p.pauseAsks(replica, now, retryAfter)
	}
}

// pauseAsks keeps requests that don't wait from asking for a slot, for longer each time until one of them gets
// one. The lock is held.
func (p *Permits) pauseAsks(replica string, now time.Time, retryAfter time.Duration) {
	p.busy[replica] = min(max(2*p.busy[replica], minBusyPause), busyPause)
	p.pausedUntil[replica] = now.Add(max(retryAfter, p.busy[replica]))
}

// Ending is how a request that was given a slot ended.
type Ending int

// The endings of requests.
const (
	// Done is that the replica does not work on the request any more.
	Done Ending = iota
	// Refused is that the replica refused it.
	Refused
	// Abandoned is that this node closed the connection before the replica had answered.
	Abandoned
)

// Return gives a granted slot back.
func (p *Permits) Return(r *replica.Replica, slot uint64, how Ending) {
	if slot == 0 {
		return
	}
	process := r.Process()
	if how == Abandoned {
		time.AfterFunc(abandonedHold, func() { p.slots.end(process, slot, false) })
		return
	}
	p.slots.end(process, slot, how == Refused)
}

// ConfirmSlots tells the issuers of brittle replicas which of their slots this node uses. bound is the
// number of its requests by replica ID.
func (p *Permits) ConfirmSlots(ctx context.Context, bound map[string]int) {
	processes := p.slots.processes()
	for id, l := range p.table.InForce() {
		if process := (replica.Process{ID: id, StartedAt: l.StartedAt}); l.Brittle.Brittle && !slices.Contains(processes, process) {
			processes = append(processes, process)
		}
	}
	// While reports are on their way the numbers change.
	var reports []*SlotReport
	for _, process := range processes {
		if r := p.slots.confirmation(process, p.issuerOf(process.ID), bound[process.ID]); r != nil {
			reports = append(reports, r)
		}
	}
	var sending sync.WaitGroup
	for _, r := range reports {
		// The next confirmation makes up for a lost one.
		sending.Go(func() { _ = p.slots.report(ctx, r) })
	}
	sending.Wait()
}

// Forget removes the state of a deregistered replica.
func (p *Permits) Forget(replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pausedUntil, replica)
	delete(p.closedUntil, replica)
	delete(p.unanswered, replica)
	delete(p.busy, replica)
	delete(p.freeAt, replica)
}
