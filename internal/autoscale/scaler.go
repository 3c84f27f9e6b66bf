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
	// recordKey is the store's key of the record.
	recordKey = "trestle/duties/replicas"
	// lookEvery is how often the holder looks at what is wanted.
	lookEvery = 500 * time.Millisecond
	// savePart is the change of a capacity, as a part of it, from which it is written.
	savePart = 0.1
	// callTimeout bounds one call of the store.
	callTimeout = 900 * time.Millisecond
)

// Options are what a Scaler works with.
type Options struct {
	Store    duty.Store
	Platform Platform
	// Observe tells of the upstreams whose replicas may be ordered; none as long as too
	// little is known.
	Observe func() []Observation
	// FirstStart says that the whole system starts for the first time: no replica is
	// there that this system has ordered.
	FirstStart bool
	Clock      boottime.Clock
	Log        *eventlog.Log
	Metrics    *Metrics
}

// Scaler is the duty of ordering replicas. It implements duty.Work.
type Scaler struct{ options Options }

// New returns a scaler.
func New(options Options) *Scaler { return &Scaler{options: options} }

// Run implements duty.Work.
func (s *Scaler) Run(ctx context.Context, term duty.Term) {
	session := &session{options: s.options, term: term, orders: NewOrders(), arrivals: make(map[string]*arrivals)}
	for ctx.Err() == nil && !session.fenced {
		session.look(ctx)
		if ctxtime.Sleep(ctx, lookEvery) != nil {
			return
		}
	}
}

// session is the work of one term. It is for one goroutine.
type session struct {
	options Options
	term    duty.Term
	orders  *Orders
	// arrivals are those of the upstreams that have no capacity yet.
	arrivals map[string]*arrivals
	// record is nil until it was read; revision is that of its key.
	record   *Record
	revision int64
	// saved is the record as it was written, lookedAt the time of the last look.
	saved    map[string]float64
	lookedAt boottime.Instant
	// fenced: a later holder was seen, and this one orders nothing more.
	fenced bool
}

// look orders what is due.
func (s *session) look(ctx context.Context) {
	if s.record == nil && !s.load(ctx) {
		return
	}
	now := s.options.Clock()
	passed := now.Sub(s.lookedAt)
	if s.lookedAt == 0 {
		passed = 0
	}
	s.lookedAt = now
	for _, o := range s.options.Observe() {
		wanted, known := s.want(now, &o, passed)
		switch {
		case known:
			s.order(ctx, now, &o, wanted)
		case s.options.FirstStart:
			s.orderEarly(ctx, now, &o)
		}
	}
	s.save(ctx)
}

// want is the capacity that is wanted of the upstream from now on. Until the replicas of
// a fleet's start have registered it is not known: an order by what is there would take
// those away that are not seen yet.
func (s *session) want(now boottime.Instant, o *Observation, passed time.Duration) (wanted float64, known bool) {
	before, known := s.record.Capacity[o.Upstream]
	if !known {
		if before, known = s.arrivalsOf(o.Upstream).present(now, o); !known {
			return 0, false
		}
	}
	wanted = capacity(before, o, passed)
	s.record.Capacity[o.Upstream] = wanted
	return wanted, true
}

func (s *session) arrivalsOf(upstream string) *arrivals {
	a, ok := s.arrivals[upstream]
	if !ok {
		a = &arrivals{}
		s.arrivals[upstream] = a
	}
	return a
}

// order sends the orders that are due for an upstream.
func (s *session) order(ctx context.Context, now boottime.Instant, o *Observation, wanted float64) {
	mix := portfolio(wanted, &o.Scaling, o.names(), s.orders.ExhaustedZones(now, o))
	s.send(ctx, now, o, wanted, s.orders.Due(now, o, mix))
}

// orderEarly orders reclaimable replicas for those that have registered so far, so that
// they serve when the first callers come. At a fleet's first start nobody has ordered any
// before, and a later order only adds to the earlier one.
func (s *session) orderEarly(ctx context.Context, now boottime.Instant, o *Observation) {
	seen := float64(o.ready(OnDemand))
	if seen == 0 {
		return
	}
	mix := portfolio(seen, &o.Scaling, o.names(), s.orders.ExhaustedZones(now, o))
	s.send(ctx, now, o, seen, s.orders.More(o, mix))
}

// send sends orders until the duties end.
func (s *session) send(ctx context.Context, now boottime.Instant, o *Observation, wanted float64, due []Order) {
	for _, order := range due {
		if !s.term.Held() || s.fenced {
			return
		}
		s.orders.RecordSent(now, order, o.readyIn(order.Pool))
		err := s.options.Platform.Order(ctx, s.term, order)
		s.options.Metrics.ordered(order, err)
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

// load reads what the last holder wanted; it reports whether that is known.
func (s *session) load(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.options.Store.Get(limited, recordKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		s.options.Log.Error("read wanted replicas", err)
		return false
	}
	record := &Record{}
	if err == nil {
		if err := json.Unmarshal(entry.Value, record); err != nil {
			s.options.Log.Error("decode wanted replicas", fmt.Errorf("record of revision %d is replaced: %w", entry.Revision, err))
			record = &Record{}
		}
	}
	if record.Capacity == nil {
		record.Capacity = make(map[string]float64)
	}
	s.record, s.revision, s.saved = record, entry.Revision, maps.Clone(record.Capacity)
	return true
}

// save writes what is wanted where it has changed by much, unless another node holds the
// duty. Where the write's outcome is not known the record is read again.
func (s *session) save(ctx context.Context) {
	if !s.worthSaving() {
		return
	}
	value, err := json.Marshal(s.record)
	if err != nil {
		s.options.Log.Error("encode wanted replicas", err)
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
		s.options.Log.Error("write wanted replicas", err)
		return
	}
	s.revision, s.saved = revision, maps.Clone(s.record.Capacity)
}

func (s *session) worthSaving() bool {
	for name, value := range s.record.Capacity {
		if math.Abs(value-s.saved[name]) > savePart*value {
			return true
		}
	}
	return false
}
