package ratelimit

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"galenatrestle/internal/replica"
)

const (
	// slotKeepTime is how long after it was given out a slot goes on to the next request of this node
	// that waits, on average. Then another node may have it.
	slotKeepTime = time.Second
	// keepSteps is the number of different times for which slots are kept, so that slots that were given
	// out together are not given back together.
	keepSteps = 16
)

// keepTime returns how long the slot is kept: half of slotKeepTime to one and a half.
func keepTime(id uint64) time.Duration {
	return slotKeepTime/2 + time.Duration(id%keepSteps)*slotKeepTime/keepSteps
}

// abandonedHold is how long a slot counts as in use after the node closed the connection of a
// request that the replica had not answered: the replica may work on it for a while.
const abandonedHold = 250 * time.Millisecond

const (
	// reportRetryInterval is the time after which a lost report is sent again; it doubles each time.
	// After maxReportTries the slots have expired at the issuer.
	reportRetryInterval = 200 * time.Millisecond
	maxReportTries      = 5
)

// ReportFunc tells the replica's issuer what became of slots.
type ReportFunc func(ctx context.Context, r *SlotReport) error

// heldSlots are the slots of one process of a replica that this node uses.
type heldSlots struct {
	// ids are the slots in use, with the times at which they were given out.
	ids map[uint64]time.Time
	// asking is the number of requests that wait for the answer to an ask.
	asking int
	// waiting are the requests that wait for a slot, polling is whether the issuer is being asked for
	// one of them.
	waiting []*localWaiter
	polling bool
	// ended and refusals are to be reported; reporting is set while a report is on its way.
	ended     []uint64
	refusals  int
	reporting bool
}

// slots are the slots of brittle replicas that this node uses. It is safe for concurrent use.
type slots struct {
	self   string
	report ReportFunc

	mu   sync.Mutex
	held map[replica.Process]*heldSlots
	// used are the processes of which slots were used lately.
	used   map[replica.Process]slotUsage
	lastID uint64
}

// slotUsage is what the issuer of a process's slots may still know of this node.
type slotUsage struct {
	usedAt time.Time
	// issuer is the node that the last confirmation went to; empty: there was none. unasked is the
	// number of requests without a slot that it told.
	issuer  string
	unasked int
}

func newSlots() *slots {
	// A restarted node must not reuse the IDs of slots that still count as in use.
	return &slots{held: make(map[replica.Process]*heldSlots), used: make(map[replica.Process]slotUsage), lastID: uint64(time.Now().UnixNano())}
}

// of returns the slots of the process. The lock is held.
func (s *slots) of(process replica.Process) *heldSlots {
	h, found := s.held[process]
	if !found {
		h = &heldSlots{ids: make(map[uint64]time.Time)}
		s.held[process] = h
	}
	return h
}

// begin returns the ID for an ask of a request that does not wait; false: others wait already.
func (s *slots) begin(process replica.Process) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.of(process)
	if len(h.waiting) > 0 {
		return 0, false
	}
	h.asking++
	return s.nextID(process), true
}

// nextID returns the ID for a slot of the process. The lock is held.
func (s *slots) nextID(process replica.Process) uint64 {
	s.lastID++
	usage := s.used[process]
	usage.usedAt = time.Now()
	s.used[process] = usage
	return s.lastID
}

// answered records the answer to an ask. If it got lost, the slot may have been given out all the same.
func (s *slots) answered(process replica.Process, id uint64, granted, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[process]
	h.asking--
	switch {
	case granted:
		h.ids[id] = time.Now()
	case lost:
		s.giveBack(process, h, id)
	default:
		s.drop(process, h)
	}
}

// end records that a slot is used no more, and whether the replica refused the request.
func (s *slots) end(process replica.Process, id uint64, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, found := s.held[process]
	if !found {
		return
	}
	grantedAt, used := h.ids[id]
	if used && !refused && len(h.waiting) > 0 && time.Since(grantedAt) < keepTime(id) {
		h.next(id)
		return
	}
	delete(h.ids, id)
	if refused {
		h.refusals++
	}
	s.giveBack(process, h, id)
}

// giveBack reports that a slot is free. The lock is held.
func (s *slots) giveBack(process replica.Process, h *heldSlots, id uint64) {
	h.ended = append(h.ended, id)
	s.send(process, h)
}

// send reports what ended, one report at a time. The lock is held.
func (s *slots) send(process replica.Process, h *heldSlots) {
	if h.reporting || s.report == nil {
		return
	}
	h.reporting = true
	go func() {
		for {
			r := s.next(process, h)
			if r == nil {
				return
			}
			s.deliver(r)
		}
	}()
}

// deliver sends the report until it has arrived, or no longer matters.
func (s *slots) deliver(r *SlotReport) {
	for try := range maxReportTries {
		if s.report(context.Background(), r) == nil {
			return
		}
		time.Sleep(reportRetryInterval << try)
	}
}

// next returns the next report of what ended; nil: there is nothing to report.
func (s *slots) next(process replica.Process, h *heldSlots) *SlotReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(h.ended) == 0 {
		h.reporting = false
		s.drop(process, h)
		return nil
	}
	r := &SlotReport{Replica: process.ID, StartedAt: process.StartedAt, Node: s.self, Ended: h.ended, Refusals: h.refusals}
	h.ended, h.refusals = nil, 0
	return r
}

// drop removes what is empty. The lock is held.
func (s *slots) drop(process replica.Process, h *heldSlots) {
	if len(h.ids) == 0 && h.asking == 0 && len(h.ended) == 0 && !h.reporting && !h.polling && len(h.waiting) == 0 {
		delete(s.held, process)
	}
}

// processes returns those of which slots were used lately.
func (s *slots) processes() []replica.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.used, func(process replica.Process, usage slotUsage) bool {
		return s.held[process] == nil && usage.unasked == 0 && time.Since(usage.usedAt) >= slotTTL
	})
	return slices.Collect(maps.Keys(s.used))
}

// confirmation returns the report that confirms the slots of the process to the issuer. This node has so
// many requests bound to the process. It returns nil if the issuer knows nothing else.
func (s *slots) confirmation(process replica.Process, issuer string, bound int) *SlotReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &SlotReport{Replica: process.ID, StartedAt: process.StartedAt, Node: s.self}
	if h, found := s.held[process]; found {
		r.Held = slices.Sorted(maps.Keys(h.ids))
		bound -= len(h.ids) + h.asking + len(h.waiting)
	}
	unasked := max(bound, 0)
	r.Unasked = &unasked
	before, known := s.used[process]
	if unasked == 0 && len(r.Held) == 0 && before.unasked == 0 && (!known || before.issuer == issuer) {
		return nil
	}
	before.issuer, before.unasked = issuer, unasked
	s.used[process] = before
	return r
}
