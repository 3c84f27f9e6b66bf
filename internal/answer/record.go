package answer

import (
	"sync"
	"time"

	"galenatrestle/internal/refusal"
)

// maxHeld bounds the events that wait for an earlier one.
const maxHeld = 256

// unknownLast stands for a last sequence number that is not yet known.
const unknownLast = -1

// Record is the answer of one request. Attempts append to it, readers follow
// it. The first attempt that appends owns the answer until Release; events of
// all others are dropped by their number. It is safe for concurrent use.
type Record struct {
	meta  Meta
	store *Store

	mu     sync.Mutex
	status Status
	events packed
	// bytes is what the record is accounted for in the store.
	bytes int64
	// owner is the attempt whose events are taken, zero for none.
	owner int
	// lost are attempts that may never own the answer again.
	lost map[int]bool
	// next is the owner's sequence number that comes next, from 1.
	next int64
	// held are the owner's events that came too early.
	held map[int64][]byte
	// last is the owner's last sequence number, or unknownLast.
	last int64
	// changed is closed at the next change, where a reader waits for it.
	changed chan struct{}
	// readers counts the open readers.
	readers int
	// gone says that the events were evicted.
	gone       bool
	finishedAt time.Time
}

// Meta returns what the record was opened with.
func (r *Record) Meta() Meta { return r.meta }

// Status returns the answer's state.
func (r *Record) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// Describe sets the HTTP status and content type of the answer.
func (r *Record) Describe(httpStatus int, contentType string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.HTTPStatus = httpStatus
	r.status.ContentType = contentType
}

// Append adds the event with the sequence number, from 1, of the attempt, from
// 1. It copies data. Events that come early are held until the gap is filled.
// It returns ErrStale, ErrEnded or ErrTooLarge where nothing was added.
func (r *Record) Append(now time.Time, attempt int, sequence int64, data []byte) error {
	r.mu.Lock()
	err := r.append(attempt, sequence, data)
	ended := err == nil && r.endIfWhole(now)
	r.mu.Unlock()
	if ended {
		r.store.finished(r)
	}
	r.store.makeRoom()
	return err
}

// Finish says that the attempt's answer is whole with the last sequence
// number, zero for an empty one. The answer is done once all events up to it
// are there. It returns ErrStale where events past it are there already.
func (r *Record) Finish(now time.Time, attempt int, last int64) error {
	r.mu.Lock()
	err := r.own(attempt)
	if err == nil && last < r.next-1 {
		err = ErrStale
	}
	ended := false
	if err == nil {
		r.last = last
		ended = r.endIfWhole(now)
	}
	r.mu.Unlock()
	if ended {
		r.store.finished(r)
	}
	return err
}

// Release says that the attempt failed. What it delivered stays, for a later
// attempt to go on from; what it still sends is dropped.
func (r *Record) Release(attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[attempt] = true
	if r.owner == attempt {
		r.disown()
	}
}

// Fail ends the answer with a refusal, unless it has ended already.
func (r *Record) Fail(now time.Time, refused *refusal.Error) {
	r.end(now, Failed, refused)
}

// Cancel ends the answer because nobody wants it any more, unless it has ended
// already.
func (r *Record) Cancel(now time.Time) {
	r.end(now, Cancelled, nil)
}

func (r *Record) end(now time.Time, state State, refused *refusal.Error) {
	r.mu.Lock()
	ended := r.setEnd(now, state, refused)
	r.mu.Unlock()
	if ended {
		r.store.finished(r)
	}
}

// setEnd makes the state final; it says whether it was not before.
func (r *Record) setEnd(now time.Time, state State, refused *refusal.Error) bool {
	if r.status.State != Running {
		return false
	}
	r.status.State = state
	r.status.Refusal = refused
	r.finishedAt = now
	r.disown()
	r.wake()
	return true
}

// disown forgets the owner and what it left unordered.
func (r *Record) disown() {
	for _, data := range r.held {
		r.account(-heldCost(data))
	}
	r.owner, r.next, r.last, r.held = 0, 1, unknownLast, nil
}

// own makes the attempt the owner if nobody is, and checks that it is.
func (r *Record) own(attempt int) error {
	if r.status.State != Running {
		return ErrEnded
	}
	if r.lost[attempt] {
		return ErrStale
	}
	if r.owner == 0 {
		r.owner = attempt
		r.status.Attempts = max(r.status.Attempts, attempt)
	}
	if r.owner != attempt {
		r.lost[attempt] = true
		return ErrStale
	}
	return nil
}

func (r *Record) append(attempt int, sequence int64, data []byte) error {
	if err := r.own(attempt); err != nil {
		return err
	}
	if sequence < r.next || r.holds(sequence) || (r.last != unknownLast && sequence > r.last) {
		return ErrStale
	}
	if r.bytes+heldCost(data) > r.store.options.MaxAnswerBytes || len(r.held) >= maxHeld {
		return ErrTooLarge
	}
	if sequence > r.next {
		r.hold(sequence, data)
		return nil
	}
	r.deliver(data)
	r.deliverHeld()
	r.wake()
	return nil
}

func (r *Record) holds(sequence int64) bool {
	_, ok := r.held[sequence]
	return ok
}

func (r *Record) hold(sequence int64, data []byte) {
	if r.held == nil {
		r.held = make(map[int64][]byte)
	}
	r.held[sequence] = append(make([]byte, 0, len(data)), data...)
	r.account(heldCost(data))
}

// heldCost is what an event costs that waits for an earlier one.
func heldCost(data []byte) int64 { return int64(len(data)) + eventOverhead }

func (r *Record) deliver(data []byte) {
	r.account(r.events.add(data))
	r.next++
}

func (r *Record) deliverHeld() {
	for {
		data, ok := r.held[r.next]
		if !ok {
			return
		}
		delete(r.held, r.next)
		r.account(-heldCost(data))
		r.deliver(data)
	}
}

// endIfWhole ends the answer as done where its last event is delivered.
func (r *Record) endIfWhole(now time.Time) bool {
	whole := r.owner != 0 && r.last != unknownLast && r.next > r.last
	return whole && r.setEnd(now, Done, nil)
}

func (r *Record) account(bytes int64) {
	r.bytes += bytes
	r.store.used.Add(bytes)
}

// wake lets the waiting readers look again.
func (r *Record) wake() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
