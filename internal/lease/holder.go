package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"galenatrestle/internal/ctxtime"
)

// Callbacks are called one at a time, from one goroutine. The lease is renewed
// while a callback runs.
type Callbacks struct {
	// OnGained is called at the start of a term; ctx is canceled at its end. It
	// must not block.
	OnGained func(ctx context.Context, epoch int64)
	// OnLost is called at the end of a term, after ctx is canceled. In a planned
	// stop the lease is released after OnLost returns, so OnLost should wait until
	// the work done under the lease has stopped.
	OnLost func(epoch int64, reason EndReason)
	// Observers are called for each term's renewals and clock checks.
	Observers []Observer
}

// Holder tries to hold one named lease while Run runs.
type Holder struct {
	source    *Source
	name      string
	callbacks Callbacks
	random    *rand.Rand
	// preferred reports whether this process should try at every interval.
	preferred func() bool

	mu   sync.Mutex
	term *Term
}

// NewHolder returns a holder for the named lease. No one else may use random.
func NewHolder(source *Source, name string, callbacks Callbacks, random *rand.Rand) *Holder {
	return &Holder{source: source, name: name, callbacks: callbacks, random: random, preferred: always}
}

func always() bool { return true }

// unpreferredTryFactor is how many times more rarely a process that is not
// preferred tries to acquire the lease.
const unpreferredTryFactor = 24

// SetPreferred limits the calls of many contenders: while preferred returns
// false, this one tries unpreferredTryFactor times more rarely. It still tries,
// so that the lease finds a holder when the preferred process can't reach the
// platform. A term in force is kept either way. Call it before Run.
func (h *Holder) SetPreferred(preferred func() bool) { h.preferred = preferred }

// shouldTry reports whether to try to acquire the lease at this interval.
func (h *Holder) shouldTry() bool {
	return h.preferred() || h.random.IntN(unpreferredTryFactor) == 0
}

// Held returns the epoch of the term in force at now, and whether there is one.
func (h *Holder) Held(now time.Time) (epoch int64, ok bool) {
	h.mu.Lock()
	term := h.term
	h.mu.Unlock()
	if term == nil || !term.Held(now) {
		return 0, false
	}
	return term.Epoch(), true
}

// Run acquires and holds the lease until ctx ends, then calls OnLost and
// releases it. It returns the error of that release, or nil.
func (h *Holder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !h.shouldTry() {
			h.waitToRetry(ctx)
			continue
		}
		term, err := h.source.Acquire(ctx, h.name, h.callbacks.Observers...)
		if err == nil {
			if err := h.runTerm(ctx, term); err != nil {
				return err
			}
		}
		h.waitToRetry(ctx)
	}
	return nil
}

// runTerm runs the callbacks of one term and waits for its end. It returns the
// error of the release when ctx ends.
func (h *Holder) runTerm(ctx context.Context, term *Term) error {
	h.setTerm(term)
	defer h.setTerm(nil)
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	h.callbacks.OnGained(live, term.Epoch())
	select {
	case <-term.Done():
		stop()
		h.callbacks.OnLost(term.Epoch(), term.EndReason())
		return nil
	case <-ctx.Done():
	}
	h.setTerm(nil)
	stop()
	h.callbacks.OnLost(term.Epoch(), EndReleased)
	return term.Release(context.WithoutCancel(ctx))
}

func (h *Holder) setTerm(term *Term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term = term
}

// waitToRetry waits for a random time of half to one and a half of TryEvery.
func (h *Holder) waitToRetry(ctx context.Context) {
	mean := h.source.settings.TryEvery
	pause := mean/2 + time.Duration(h.random.Int64N(int64(mean)))
	_ = ctxtime.Sleep(ctx, pause)
}
