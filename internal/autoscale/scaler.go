package autoscale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/duty"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/platform"
)

const (
	recordKey = "trestle/duties/replicas"
	// reconcileInterval is the time between two evaluations of the wanted capacity.
	reconcileInterval = 500 * time.Millisecond
	// saveThreshold is the relative change of a capacity above which it is saved.
	saveThreshold = 0.1
	// callTimeout limits one store call.
	callTimeout = 900 * time.Millisecond
)

// Options configures a Scaler.
type Options struct {
	Store    duty.Store
	Platform Platform
	// Observe returns the upstreams that may be scaled. It returns none until the
	// routes and the first listing of replicas are available.
	Observe func() []Observation
	// FirstStart is set when the fleet starts for the first time, so that no replicas from
	// earlier orders exist.
	FirstStart bool
	Clock      boottime.Clock
	Log        *eventlog.Log
	Metrics    *Metrics
}

// Scaler orders replicas while its node holds the duty lease. It implements duty.Task.
type Scaler struct{ options Options }

// New returns a Scaler.
func New(options Options) *Scaler { return &Scaler{options: options} }

// Run implements duty.Task.
func (s *Scaler) Run(ctx context.Context, term duty.Term) {
	current := &session{options: s.options, term: term, orders: NewOrders(), registrations: make(map[string]*registrationTracker)}
	for ctx.Err() == nil && !current.fenced {
		current.reconcile(ctx)
		if ctxtime.Sleep(ctx, reconcileInterval) != nil {
			return
		}
	}
}

// session is the state of one lease term. It is not safe for concurrent use.
type session struct {
	options Options
	term    duty.Term
	orders  *Orders
	// registrations holds a tracker by upstream, for those without a wanted capacity.
	registrations map[string]*registrationTracker
	// record is nil until it is read; revision is the revision of its key.
	record   *Record
	revision int64
	// saved is the capacity last written, reconciledAt the time of the last reconcile.
	saved        map[string]float64
	reconciledAt boottime.Instant
	// fenced is set once a later holder has ordered; this one then stops ordering.
	fenced bool
}

// reconcile sends the orders that are due and saves the wanted capacity.
func (s *session) reconcile(ctx context.Context) {
	if s.record == nil && !s.load(ctx) {
		return
	}
	now := s.options.Clock()
	elapsed := now.Sub(s.reconciledAt)
	if s.reconciledAt == 0 {
		elapsed = 0
	}
	s.reconciledAt = now
	for _, o := range s.options.Observe() {
		wanted, known := s.updateWanted(now, &o, elapsed)
		switch {
		case known:
			s.sendDue(ctx, now, &o, wanted)
		case s.options.FirstStart:
			s.orderEarly(ctx, now, &o)
		}
	}
	s.save(ctx)
}

// updateWanted updates and returns the wanted capacity of the upstream. It is unknown until the
// registrations at fleet start are stable: an earlier order would remove replicas that have
// not registered yet.
func (s *session) updateWanted(now boottime.Instant, o *Observation, elapsed time.Duration) (wanted float64, known bool) {
	previous, known := s.record.Capacity[o.Upstream]
	if !known {
		if previous, known = s.trackerFor(o.Upstream).stableCapacity(now, o); !known {
			return 0, false
		}
	}
	wanted = nextCapacity(previous, o, elapsed)
	s.record.Capacity[o.Upstream] = wanted
	return wanted, true
}

func (s *session) trackerFor(upstream string) *registrationTracker {
	tracker, ok := s.registrations[upstream]
	if !ok {
		tracker = &registrationTracker{}
		s.registrations[upstream] = tracker
	}
	return tracker
}

func (s *session) sendDue(ctx context.Context, now boottime.Instant, o *Observation, wanted float64) {
	mix := wantedMix(wanted, &o.Scaling, o.zoneNames(), s.orders.ExhaustedZones(now, o))
	s.send(ctx, now, o, wanted, s.orders.Due(now, o, mix))
}

// orderEarly orders reclaimable replicas for the on-demand ones registered so far, so that
// they are ready for the first requests. This is safe at the first start only, when no
// reclaimable replicas were ordered before; later orders only raise the number.
func (s *session) orderEarly(ctx context.Context, now boottime.Instant, o *Observation) {
	registered := float64(o.ready(OnDemand))
	if registered == 0 {
		return
	}
	mix := wantedMix(registered, &o.Scaling, o.zoneNames(), s.orders.ExhaustedZones(now, o))
	s.send(ctx, now, o, registered, s.orders.More(o, mix))
}

// send sends the orders until the lease is lost or a later holder is detected. A conflict
// on reclaimable replicas is taken as lack of capacity, one on on-demand replicas as an
// order by a later holder.
func (s *session) send(ctx context.Context, now boottime.Instant, o *Observation, wanted float64, due []Order) {
	for _, order := range due {
		if !s.term.Held() || s.fenced {
			return
		}
		s.orders.RecordSent(now, order, o.readyIn(order.Pool))
		err := s.options.Platform.Order(ctx, s.term, order)
		s.options.Metrics.countOrder(order, err)
		s.options.Log.Write(&orderSent{order: order, wanted: wanted, observed: o, fence: s.term.Fence, err: err})
		switch {
		case !errors.Is(err, platform.ErrConflict):
		case order.Kind == Reclaimable:
			s.orders.RecordRefused(now, order)
		default:
			s.fenced = true
		}
	}
}

// load reads the stored record and reports whether it succeeded. A missing or malformed
// record counts as empty.
func (s *session) load(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.options.Store.Get(limited, recordKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		s.options.Log.Error("read wanted capacity", err)
		return false
	}
	record := &Record{}
	if err == nil {
		if err := json.Unmarshal(entry.Value, record); err != nil {
			s.options.Log.Error("decode wanted capacity", fmt.Errorf("ignoring malformed record at revision %d: %w", entry.Revision, err))
			record = &Record{}
		}
	}
	if record.Capacity == nil {
		record.Capacity = make(map[string]float64)
	}
	s.record, s.revision, s.saved = record, entry.Revision, maps.Clone(record.Capacity)
	return true
}

// save writes the capacities if one changed by more than saveThreshold, on condition that
// the lease is still held. After an error the outcome is unknown, so the record is reread.
func (s *session) save(ctx context.Context) {
	if !s.worthSaving() {
		return
	}
	value, err := json.Marshal(s.record)
	if err != nil {
		s.options.Log.Error("encode wanted capacity", err)
		return
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := s.options.Store.Commit(limited, platform.Transaction{
		Conditions: []platform.Condition{{Key: s.term.Key, Revision: s.term.Fence}, {Key: recordKey, Revision: s.revision}},
		Writes:     []platform.Write{{Key: recordKey, Value: value}},
	})
	if err != nil {
		s.record = nil
		s.options.Log.Error("write wanted capacity", err)
		return
	}
	s.revision, s.saved = revision, maps.Clone(s.record.Capacity)
}

func (s *session) worthSaving() bool {
	for name, value := range s.record.Capacity {
		if math.Abs(value-s.saved[name]) > saveThreshold*value {
			return true
		}
	}
	return false
}
