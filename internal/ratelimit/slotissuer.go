package ratelimit

import (
	"context"
	"sync"
	"time"
)

// slotRecheck is the interval at which a waiting ask is considered again: room also grows as time
// passes.
const slotRecheck = 200 * time.Millisecond

// SlotAsk is an ask for one slot of a brittle replica.
type SlotAsk struct {
	// Node is the asking node, and ID what it calls the slot.
	Node string
	ID   uint64
	// Slots is the number of the replica's slots.
	Slots int
	// Rank is the request's urgency; 0 is the most urgent.
	Rank int
	// Wait is how long to wait for a slot.
	Wait time.Duration
}

// SlotReport is what became of the slots that a node was given.
type SlotReport struct {
	Replica   string
	StartedAt int64
	Node      string
	// Ended are the slots that the node uses no more, Held those that it confirms.
	Ended, Held []uint64
	// Unasked is the number of its other requests that the replica runs; nil: not told. If it is told, Held
	// is the whole list.
	Unasked *int
	// Refusals is the number of its requests that the replica has refused since the last report.
	Refusals int
}

// SlotIssuer gives out the slots of the brittle replicas that this node is responsible for, each for
// one request. It is safe for concurrent use.
type SlotIssuer struct {
	mu    sync.Mutex
	books map[string]*slotBook
}

// NewSlotIssuer returns an issuer that knows of no slot in use.
func NewSlotIssuer() *SlotIssuer { return &SlotIssuer{books: make(map[string]*slotBook)} }

// Issue gives out a slot of the replica, of which this node may give out the share. It waits as long as
// the ask says, or until ctx ends, unless so many wait already that this would be in vain.
func (i *SlotIssuer) Issue(ctx context.Context, l *Limit, ask *SlotAsk, share float64) Grant {
	b, w, expected := i.enqueue(l, ask, share)
	if w == nil {
		return Grant{RetryAfter: expected - ask.Wait}
	}
	timeout := time.NewTimer(ask.Wait)
	defer timeout.Stop()
	recheck := time.NewTicker(slotRecheck)
	defer recheck.Stop()
	for !isGranted(w) {
		select {
		case <-w.granted:
		case <-recheck.C:
			i.dispatch(b)
		case <-timeout.C:
			return i.giveUp(b, w)
		case <-ctx.Done():
			return i.giveUp(b, w)
		}
	}
	return Grant{Granted: true}
}

func isGranted(w *slotWaiter) bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

// enqueue adds the ask, which may have been granted on return. It returns no waiter, and the expected
// wait, if that is longer than the ask waits.
func (i *SlotIssuer) enqueue(l *Limit, ask *SlotAsk, share float64) (*slotBook, *slotWaiter, time.Duration) {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.book(l.Replica, l.StartedAt, now)
	b.terms = slotTerms{slots: ask.Slots, refusalsPerSecond: l.Brittle.RefusalsPerSecond, share: share}
	expected := b.expectedWait(now)
	w := b.enqueue(slotKey{node: ask.Node, id: ask.ID}, ask.Rank, now)
	b.dispatch(now)
	if !isGranted(w) && expected > ask.Wait {
		b.withdraw(w)
		return b, nil, expected
	}
	return b, w, expected
}

func (i *SlotIssuer) dispatch(b *slotBook) {
	i.mu.Lock()
	defer i.mu.Unlock()
	b.dispatch(time.Now())
}

// giveUp takes the ask back, unless it was granted meanwhile.
func (i *SlotIssuer) giveUp(b *slotBook, w *slotWaiter) Grant {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !b.withdraw(w) {
		return Grant{Granted: true}
	}
	return Grant{RetryAfter: b.expectedWait(time.Now())}
}

// Report records what a node tells of its slots.
func (i *SlotIssuer) Report(r *SlotReport) {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.book(r.Replica, r.StartedAt, now)
	if r.Refusals > 0 {
		b.refused(r.Refusals, now)
	}
	for _, id := range r.Ended {
		b.end(slotKey{r.Node, id}, now)
	}
	for _, id := range r.Held {
		b.confirm(slotKey{r.Node, id}, now)
	}
	if r.Unasked != nil {
		b.reconcile(r.Node, r.Held, now)
		b.unasked[r.Node] = unaskedUse{count: *r.Unasked, confirmedAt: now}
	}
	b.dispatch(now)
}

// book returns the book of the replica's process. The lock is held.
func (i *SlotIssuer) book(replica string, startedAt int64, now time.Time) *slotBook {
	b, found := i.books[replica]
	if !found || b.startedAt != startedAt {
		b = newSlotBook(startedAt, now)
		i.books[replica] = b
	}
	return b
}

// Forget removes the book of a deregistered replica.
func (i *SlotIssuer) Forget(replica string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.books, replica)
}
