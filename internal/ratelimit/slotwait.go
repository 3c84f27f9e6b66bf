package ratelimit

import (
	"context"
	"slices"
	"time"

	"galenatrestle/internal/replica"
)

// slotPoll is how long an ask for one of the waiting requests of a node waits at the issuer.
const slotPoll = time.Second

// localWaiter is a request of this node that waits for a slot.
type localWaiter struct {
	rank    int
	granted chan uint64
}

// await waits for a slot of the replica, for as long as the urgency says. All requests of this node that
// wait for the same replica share one ask at a time, so that the issuer gets no more asks than
// the replica has slots to give, however many requests come.
func (p *Permits) await(ctx context.Context, r *replica.Replica, u Urgency) (slot uint64, granted bool) {
	w := p.slots.enqueue(r.Process(), u.Rank, func() { p.poll(r) })
	timeout := time.NewTimer(u.Wait)
	defer timeout.Stop()
	select {
	case slot = <-w.granted:
		return slot, true
	case <-timeout.C:
		p.waitedInVain(r.ID, time.Now())
	case <-ctx.Done():
	}
	return p.slots.leave(r.Process(), w)
}

// waitedInVain records that a request got no slot of the replica in its time, so that the next ones wait
// at others.
func (p *Permits) waitedInVain(replica string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauseAsks(replica, now, 0)
}

// poll asks for slots until no request waits.
func (p *Permits) poll(r *replica.Replica) {
	for {
		id, rank, waits := p.slots.nextAsk(r.Process())
		if !waits {
			return
		}
		l, limited := p.Limits().Of(r)
		if !limited {
			p.slots.grant(r.Process(), id)
			continue
		}
		result := AcquireResult{Limit: l}
		urgency := Urgency{Rank: rank, Wait: slotPoll}
		p.askForSlot(context.Background(), r, id, urgency, &result)
		switch {
		case result.Err != nil:
			p.slots.lost(r.Process(), id)
		case result.Grant.Granted:
			p.slots.grant(r.Process(), id)
		}
		now := time.Now()
		p.record(now, r.ID, urgency, &result)
		time.Sleep(p.NextWaitAt(r.ID).Sub(now))
	}
}

// enqueue adds a request that waits. It calls poll in a new goroutine unless it runs.
func (s *slots) enqueue(process replica.Process, rank int, poll func()) *localWaiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.of(process)
	w := &localWaiter{rank: rank, granted: make(chan uint64, 1)}
	at := len(h.waiting)
	for at > 0 && h.waiting[at-1].rank > rank {
		at--
	}
	h.waiting = slices.Insert(h.waiting, at, w)
	if !h.polling {
		h.polling = true
		go poll()
	}
	return w
}

// leave takes a request out that no longer waits, unless it was granted a slot meanwhile.
func (s *slots) leave(process replica.Process, w *localWaiter) (slot uint64, granted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.of(process)
	i := slices.Index(h.waiting, w)
	if i < 0 {
		return <-w.granted, true
	}
	h.waiting = slices.Delete(h.waiting, i, i+1)
	s.drop(process, h)
	return 0, false
}

// Waiting returns the number of requests of this node that wait for a slot of the brittle replica.
func (p *Permits) Waiting(process replica.Process) int {
	p.slots.mu.Lock()
	defer p.slots.mu.Unlock()
	h, found := p.slots.held[process]
	if !found {
		return 0
	}
	return len(h.waiting)
}

// nextAsk returns the ID and the rank for the next ask; false: no request waits, and polling ends.
func (s *slots) nextAsk(process replica.Process) (id uint64, rank int, waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.of(process)
	if len(h.waiting) == 0 {
		h.polling = false
		s.drop(process, h)
		return 0, 0, false
	}
	return s.nextID(process), h.waiting[0].rank, true
}

// grant gives the slot to the first request that waits, or back.
func (s *slots) grant(process replica.Process, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.of(process)
	if len(h.waiting) == 0 {
		s.giveBack(process, h, id)
		return
	}
	h.ids[id] = time.Now()
	h.next(id)
}

// next gives the slot to the first request that waits. The lock is held.
func (h *heldSlots) next(id uint64) {
	h.waiting[0].granted <- id
	h.waiting = h.waiting[1:]
}

// lost records that the answer to an ask got lost: the slot may have been given out all the same.
func (s *slots) lost(process replica.Process, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.giveBack(process, s.of(process), id)
}
