package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/platform"
)

// Target is one engine.
type Target struct {
	Name           string
	Address        string
	HonoursFencing bool
}

// Guard is called before each write of an order to the connection. The write must not
// happen if it returns an error.
type Guard func() error

// Transport sends orders to engines and reads their state.
type Transport interface {
	// Send sends the order, calling guard before each write. It returns ErrFenced if the
	// engine rejects the epoch.
	Send(ctx context.Context, target Target, order openai.Order, guard Guard) error
	// State returns the state reported by the engine.
	State(ctx context.Context, target Target) (openai.OrderState, error)
}

// Sender moves the engines of one pool to their desired states while this process holds the
// pool's lease. It is safe for concurrent use.
type Sender struct {
	transport Transport
	weights   platform.Weights
	timing    LeaseTiming
	metrics   *Metrics
	now       func() time.Time

	mu    sync.Mutex
	grant Grant
}

// NewSender returns a Sender without a grant. now must carry a monotonic clock reading, as
// time.Now does.
func NewSender(transport Transport, weights platform.Weights, leaseTiming LeaseTiming, metrics *Metrics, now func() time.Time) (*Sender, error) {
	if err := leaseTiming.Check(); err != nil {
		return nil, err
	}
	return &Sender{transport: transport, weights: weights, timing: leaseTiming, metrics: metrics, now: now}, nil
}

// Renewed records an acquire or renewal of the pool's lease that was sent at asked.
func (s *Sender) Renewed(lease platform.Lease, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant = s.grant.Renewed(lease, asked, s.now())
}

// Lost records that the lease was lost or released.
func (s *Sender) Lost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant = Grant{}
}

// Beat records a heartbeat. While the lease is held, it must be called more often than every
// DetectPause: after a longer gap nothing is sent until the lease is renewed.
func (s *Sender) Beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant = s.grant.WithHeartbeat(s.timing, s.now())
}

// Reconcile sends the order unless the engine already reports its desired state, and reports
// whether the engine is in that state afterwards. It sets the epoch of the order. It returns
// a *HoldError if an order was needed but could not be sent.
func (s *Sender) Reconcile(ctx context.Context, target Target, order openai.Order) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.LongestOrder)
	defer cancel()
	state, err := s.transport.State(ctx, target)
	if err != nil {
		return false, errs.Wrap(errs.Upstream, err, "read state", target.Address)
	}
	if reached(state, order) {
		return true, nil
	}
	if err := s.send(ctx, target, order); err != nil {
		return false, err
	}
	state, err = s.transport.State(ctx, target)
	if err != nil {
		return false, errs.Wrap(errs.Upstream, err, "read state", target.Address)
	}
	return reached(state, order), nil
}

func (s *Sender) send(ctx context.Context, target Target, order openai.Order) error {
	epoch, err := s.check(target, 0)
	if err != nil {
		return err
	}
	if err := s.reserve(ctx, order); err != nil {
		return err
	}
	order.Epoch = epoch
	guard := func() error {
		_, err := s.check(target, epoch)
		return err
	}
	err = s.transport.Send(ctx, target, order, guard)
	if errors.Is(err, ErrFenced) {
		s.Lost()
		s.metrics.refused.Inc()
	}
	if err == nil {
		s.metrics.sent.WithLabelValues(string(order.Kind)).Inc()
	}
	return errs.Wrap(errs.Upstream, err, "send order", target.Address)
}

// check returns the epoch of the grant, and an error unless an order may be sent now. If
// wantEpoch is not zero, the grant must have that epoch.
func (s *Sender) check(target Target, wantEpoch int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.grant.Check(s.timing, target.HonoursFencing, s.now())
	if err == nil && wantEpoch != 0 && wantEpoch != s.grant.Epoch {
		err = &HoldError{Reason: ReasonNoLease}
	}
	s.metrics.countHold(err)
	return s.grant.Epoch, err
}

func (s *Sender) reserve(ctx context.Context, order openai.Order) error {
	if order.Kind != openai.OrderLoad {
		return nil
	}
	err := s.weights.Reserve(ctx, order.Model, order.Version)
	if errors.Is(err, platform.ErrRateLimited) {
		err = &HoldError{Reason: ReasonWeights}
		s.metrics.countHold(err)
		return err
	}
	return errs.Wrap(errs.Platform, err, "reserve weights", order.Model)
}

// reached reports whether the state is the one that the order requests.
func reached(state openai.OrderState, order openai.Order) bool {
	if order.Kind == openai.OrderRole {
		return state.Role == order.Role
	}
	loaded := false
	for _, m := range state.Models {
		if m.Name == order.Model && (order.Version == "" || m.Version == order.Version) {
			loaded = true
		}
	}
	return loaded == (order.Kind == openai.OrderLoad)
}
