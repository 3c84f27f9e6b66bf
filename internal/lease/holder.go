package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"galenatrestle/internal/ctxtime"
)

// Callbacks tell of a holder's terms, one after the other and from one
// goroutine. While one runs the lease goes on being renewed.
type Callbacks struct {
	// OnGained is called at the start of a term; ctx ends with it. It must not
	// block.
	OnGained func(ctx context.Context, epoch int64)
	// OnLost is called at its end, after ctx has ended. In a planned stop the
	// lease is released after OnLost returns, so it should wait until the
	// duty's work has stopped.
	OnLost func(epoch int64, reason EndReason)
	// Observers are told of each term's renewals and looks.
	Observers []Observer
}

// Holder tries to hold one named lease for as long as it runs.
type Holder struct {
	source    *Source
	name      string
	callbacks Callbacks
	random    *rand.Rand
	// preferred says whether this process should be the first to try.
	preferred func() bool

	mu   sync.Mutex
	term *Term
}

// NewHolder returns a holder; random is its own.
func NewHolder(source *Source, name string, callbacks Callbacks, random *rand.Rand) *Holder {
	return &Holder{source: source, name: name, callbacks: callbacks, random: random, preferred: always}
}

func always() bool { return true }

// triesOfOthers is how many times rarer one that is not preferred tries.
const triesOfOthers = 24

// SetPreferred keeps the tries of many contenders few: while preferred says no, this
// one tries triesOfOthers times more rarely, so that the lease is found a holder
// also where the preferred process can't reach the platform. A term that is
// held goes on either way. It is called before Run.
func (h *Holder) SetPreferred(preferred func() bool) { h.preferred = preferred }

// tries says whether to try for the lease this time.
func (h *Holder) tries() bool {
	return h.preferred() || h.random.IntN(triesOfOthers) == 0
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

// Run tries for the lease and holds it until ctx ends; then it stops the duty
// and hands the lease on. It returns the error of that release, or nil.
func (h *Holder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !h.tries() {
			h.rest(ctx)
			continue
		}
		term, err := h.source.Acquire(ctx, h.name, h.callbacks.Observers...)
		if err == nil {
			if err := h.serve(ctx, term); err != nil {
				return err
			}
		}
		h.rest(ctx)
	}
	return nil
}

// serve lives through a term. It returns the error of the release at ctx's end.
func (h *Holder) serve(ctx context.Context, term *Term) error {
	h.set(term)
	defer h.set(nil)
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
	h.set(nil)
	stop()
	h.callbacks.OnLost(term.Epoch(), EndReleased)
	return term.Release(context.WithoutCancel(ctx))
}

// set makes term the one in force.
func (h *Holder) set(term *Term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term = term
}

// rest waits half to one and a half of TryEvery.
func (h *Holder) rest(ctx context.Context) {
	mean := h.source.settings.TryEvery
	pause := mean/2 + time.Duration(h.random.Int64N(int64(mean)))
	_ = ctxtime.Sleep(ctx, pause)
}
