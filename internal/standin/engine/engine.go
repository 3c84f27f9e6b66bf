package engine

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/standin"
	"galenatrestle/internal/standin/fault"
	"galenatrestle/internal/standin/runs"
)

// Engine is one replica. It implements http.Handler and standin.Standin.
type Engine struct {
	opts    Options
	mux     *http.ServeMux
	faults  *fault.Set
	runs    *runs.List
	started time.Time

	mu       sync.Mutex
	waiting  waiting
	batch    []*generation
	arrivals int64
	// stepping says that the step loop runs.
	stepping bool
	// prefillUntil is when the prompts admitted so far have been read.
	prefillUntil time.Time
	// downUntil is when a crashed engine is back.
	downUntil time.Time
	cache     *prefixCache
	events    *cacheEvents
	load      *loadHistory
	orders    *orderBook
	// poke wakes a step loop that hangs: something was given up.
	poke chan struct{}
}

var _ standin.Standin = (*Engine)(nil)

// New returns an engine that is ready to serve. It needs no closing: its one
// goroutine ends whenever nothing runs.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts:    opts,
		faults:  fault.NewSet(fault.UpstreamKinds()...),
		runs:    runs.NewList(runs.DefaultBound),
		started: time.Now(),
		load:    &loadHistory{lag: opts.LoadLag},
		orders:  newOrderBook(opts),
		poke:    make(chan struct{}, 1),
		events: &cacheEvents{
			lag:    opts.CacheEventLag,
			loss:   opts.CacheEventLoss,
			random: rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(opts.Name))),
		},
	}
	e.cache = newPrefixCache(opts.CacheTokens, e.events.add)
	e.mux = e.routes()
	return e
}

// Faults implements standin.Standin.
func (e *Engine) Faults() *fault.Set { return e.faults }

// Runs implements standin.Standin.
func (e *Engine) Runs() *runs.List { return e.runs }

// ServeHTTP implements http.Handler. While the engine is down after a crash it
// aborts every connection; while it hangs it holds every one (completions are
// held by the step loop, once their body was read).
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := time.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && !e.faults.Wait(fault.Hang, r.Context().Done()) {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// cancel ends a generation that the other side gave up.
func (e *Engine) cancel(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLocked(g, stateCancelled)
	e.afterCancelLocked()
}

// cancelRequest ends all generations of a request id; false: there was none.
func (e *Engine) cancelRequest(requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []*generation
	for _, g := range slices.Concat(e.batch, []*generation(e.waiting)) {
		if g.requestID == requestID {
			found = append(found, g)
		}
	}
	for _, g := range found {
		e.endLocked(g, stateCancelled)
	}
	e.afterCancelLocked()
	return len(found) > 0
}

// afterCancelLocked fills the room that was left and wakes a hanging loop.
func (e *Engine) afterCancelLocked() {
	e.admitLocked()
	e.recordLoadLocked()
	select {
	case e.poke <- struct{}{}:
	default:
	}
}

// progress returns where a generation is and how many words it gave.
func (e *Engine) progress(g *generation) (state, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.state, g.given
}
