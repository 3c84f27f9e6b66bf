package memstore

import (
	"context"
	"math"
	"sync"

	"golang.org/x/time/rate"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
)

// Store is the platform in memory. It implements platform.Store,
// platform.Instances and platform.Weights and is safe for concurrent use.
type Store struct {
	reads   *rate.Limiter
	writes  *rate.Limiter
	weights *rate.Limiter

	calls  *counters
	faults *faults

	mu        sync.Mutex
	entries   map[string]platform.Entry
	revision  int64
	log       *eventLog
	watchers  map[*watcher]struct{}
	leases    map[string]*grant
	instances []platform.Instance
	// frozen is the stale answer while StaleInstances is on.
	frozen []platform.Instance
}

// New returns an empty store. An empty store is at revision zero.
func New(config Config) *Store {
	c := config.withDefaults()
	return &Store{
		reads:    newLimiter(c.ReadsPerSecond),
		writes:   newLimiter(c.WritesPerSecond),
		weights:  newLimiter(c.WeightsPerSecond),
		calls:    newCounters(),
		faults:   newFaults(c.Seed),
		entries:  make(map[string]platform.Entry),
		log:      newEventLog(c.LogEvents, c.LogBytes),
		watchers: make(map[*watcher]struct{}),
		leases:   make(map[string]*grant),
	}
}

// burstSeconds is how much of a second's calls may come at once.
const burstSeconds = 0.25

// newLimiter returns a limiter with a burst of a part of a second.
func newLimiter(perSecond float64) *rate.Limiter {
	burst := int(math.Ceil(perSecond * burstSeconds))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// begin counts a call, applies the faults that come before its effect and
// takes it from the rate.
func (s *Store) begin(ctx context.Context, call platform.Call) error {
	s.calls.add(call)
	if err := s.faults.before(ctx); err != nil {
		return s.fail(call, err)
	}
	if !s.limiter(call).Allow() {
		return s.fail(call, platform.ErrRateLimited)
	}
	return nil
}

// finish applies the faults that come after the effect of a write.
func (s *Store) finish(call platform.Call) error {
	if call.IsWrite() && s.faults.loseAnswer() {
		return s.fail(call, platform.ErrUnavailable)
	}
	return nil
}

// limiter returns the rate that the call is taken from.
func (s *Store) limiter(call platform.Call) *rate.Limiter {
	switch {
	case call == platform.CallReserve:
		return s.weights
	case call.IsWrite():
		return s.writes
	default:
		return s.reads
	}
}

// peerName is the peer named in the store's errors.
const peerName = "platform in memory"

// fail counts a failed call and wraps its error with the step and the peer.
func (s *Store) fail(call platform.Call, err error) error {
	s.calls.fail(call, err)
	return errs.Wrap(errs.Platform, err, string(call), peerName)
}
