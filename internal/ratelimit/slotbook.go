package ratelimit

import (
	"math"
	"slices"
	"time"
)

const (
	// slotTTL is how long a slot counts as in use after its node last confirmed it, and
	// SlotRenewInterval the interval at which nodes confirm theirs.
	slotTTL           = 3 * time.Second
	SlotRenewInterval = time.Second
	// settleTime is the time in which a new book gives out more and more slots. It does not know yet
	// which slots another issuer gave out before, and which requests were sent without being asked for.
	settleTime = SlotRenewInterval
	// ceilingFactor is the part of the requests at the time of a refusal that may run for a
	// refusalWindow after it, and ceilingRecovery the time in which that grows by all slots.
	ceilingFactor   = 0.75
	ceilingRecovery = 4 * time.Second
	// refusalWindow is the time in which a replica counts its refusals.
	refusalWindow = time.Second
	// refusalShare is the part of the refusals that a replica bears from which no slots are given
	// out. The rest is for requests that are on their way.
	refusalShare = 0.5
	// rankDelay is how much later a request counts as having come for each step that it is less
	// urgent, so that no rank waits forever.
	rankDelay = 20 * time.Millisecond
	// grantGrace is the time in which a node learns of a slot that it was given, and its report arrives.
	grantGrace = 500 * time.Millisecond
	// initialHold is the expected time that a slot is in use, and holdWeight the weight of one
	// observation.
	initialHold = 50 * time.Millisecond
	holdWeight  = 0.1
)

// slotKey identifies a slot in use: the node, and what the node calls it.
type slotKey struct {
	node string
	id   uint64
}

type slotUse struct{ from, confirmedAt time.Time }

// unaskedUse is the requests of a node that it sent without asking for slots.
type unaskedUse struct {
	count       int
	confirmedAt time.Time
}

// slotTerms are what a book gives out slots by.
type slotTerms struct {
	slots int
	// refusalsPerSecond is how many refusals the replica bears.
	refusalsPerSecond float64
	// share is the fraction of the slots that this issuer may give out.
	share float64
}

// slotWaiter is an ask for a slot that waits.
type slotWaiter struct {
	key slotKey
	// due orders the asks.
	due     time.Time
	granted chan struct{}
}

// slotBook is which slots of one process of a brittle replica are in use, by its issuer. It does
// no I/O and is not safe for concurrent use.
type slotBook struct {
	startedAt int64
	// openedAt is the start of the settleTime.
	openedAt time.Time
	terms    slotTerms
	inUse    map[slotKey]slotUse
	unasked  map[string]unaskedUse
	waiting  []*slotWaiter
	// refusals are the times of the refusals in the last refusalWindow. ceiling bounds the slots since
	// the last one, at ceilingAt; zero: there was none.
	refusals  []time.Time
	ceiling   int
	ceilingAt time.Time
	// hold is the average time that a slot is in use.
	hold time.Duration
}

func newSlotBook(startedAt int64, now time.Time) *slotBook {
	return &slotBook{startedAt: startedAt, openedAt: now, inUse: make(map[slotKey]slotUse), unasked: make(map[string]unaskedUse), hold: initialHold}
}

// enqueue adds an ask; dispatch grants it.
func (b *slotBook) enqueue(key slotKey, rank int, now time.Time) *slotWaiter {
	w := &slotWaiter{key: key, due: now.Add(time.Duration(rank) * rankDelay), granted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(b.waiting, w, func(a, w *slotWaiter) int {
		if a.due.After(w.due) {
			return 1
		}
		return -1
	})
	b.waiting = slices.Insert(b.waiting, at, w)
	return w
}

// withdraw takes an ask back. It reports whether the ask still waited.
func (b *slotBook) withdraw(w *slotWaiter) bool {
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	return true
}

// dispatch gives free slots to the asks that wait.
func (b *slotBook) dispatch(now time.Time) {
	b.expire(now)
	for len(b.waiting) > 0 && !b.isStopped(now) && b.used() < b.room(now) {
		w := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.inUse[w.key] = slotUse{from: now, confirmedAt: now}
		close(w.granted)
	}
}

// expire removes what the nodes have not confirmed, and refusals that no longer count.
func (b *slotBook) expire(now time.Time) {
	for key, use := range b.inUse {
		if now.Sub(use.confirmedAt) >= slotTTL {
			delete(b.inUse, key)
		}
	}
	for node, use := range b.unasked {
		if now.Sub(use.confirmedAt) >= slotTTL {
			delete(b.unasked, node)
		}
	}
	b.refusals = slices.DeleteFunc(b.refusals, func(at time.Time) bool { return now.Sub(at) >= refusalWindow })
}

// used returns the number of requests that the replica runs.
func (b *slotBook) used() int {
	n := len(b.inUse)
	for _, use := range b.unasked {
		n += use.count
	}
	return n
}

// room returns how many requests the replica may run now.
func (b *slotBook) room(now time.Time) int {
	room := int(math.Round(float64(max(b.terms.slots, 1)) * b.terms.share))
	if settling := max(now.Sub(b.openedAt), 0); settling < settleTime {
		room = min(room, 1+int(float64(room)*settling.Seconds()/settleTime.Seconds()))
	}
	if b.ceilingAt.IsZero() {
		return room
	}
	recovering := max(now.Sub(b.ceilingAt)-refusalWindow, 0)
	return min(room, b.ceiling+int(float64(b.terms.slots)*recovering.Seconds()/ceilingRecovery.Seconds()))
}

// isStopped reports whether one more refusal might be too many.
func (b *slotBook) isStopped(now time.Time) bool {
	return float64(len(b.refusals)) >= max(refusalShare*b.terms.refusalsPerSecond, 1)
}

// end gives a slot back.
func (b *slotBook) end(key slotKey, now time.Time) {
	use, found := b.inUse[key]
	if !found {
		return
	}
	delete(b.inUse, key)
	b.hold += time.Duration(holdWeight * float64(now.Sub(use.from)-b.hold))
}

// refused records refusals: the replica has less room than the slots in use. While the book does not
// know yet what the replica runs, they tell nothing of its room.
func (b *slotBook) refused(count int, now time.Time) {
	for range count {
		b.refusals = append(b.refusals, now)
	}
	if now.Sub(b.openedAt) < settleTime {
		b.openedAt = now.Add(refusalWindow)
		return
	}
	b.ceiling, b.ceilingAt = max(int(ceilingFactor*float64(b.used()-count)), 1), now
}

// confirm records that the slot is in use, whoever gave it out.
func (b *slotBook) confirm(key slotKey, now time.Time) {
	use, found := b.inUse[key]
	if !found {
		use.from = now
	}
	use.confirmedAt = now
	b.inUse[key] = use
}

// reconcile removes the slots that the node does not use, by its whole list. Those that were given out just
// now may not be in it yet.
func (b *slotBook) reconcile(node string, held []uint64, now time.Time) {
	for key, use := range b.inUse {
		if key.node == node && now.Sub(use.from) >= grantGrace && !slices.Contains(held, key.id) {
			delete(b.inUse, key)
		}
	}
}

// expectedWait returns the time until a slot may be free that nobody waits for.
func (b *slotBook) expectedWait(now time.Time) time.Duration {
	wait := b.hold * time.Duration(len(b.waiting)+1) / time.Duration(max(b.room(now), 1))
	if b.isStopped(now) {
		wait += refusalWindow - now.Sub(b.refusals[0])
	}
	return wait
}
