package order

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/platform"
)

// fakeEngine records the orders that took effect.
type fakeEngine struct {
	honours bool
	mu      sync.Mutex
	state   openai.OrderState
}

// fakeTransport delivers orders to one engine after latency, even if the sender has
// already timed out.
type fakeTransport struct {
	engine  *fakeEngine
	latency time.Duration
	// beforeGuard, if set, is called before the guard.
	beforeGuard func()
}

func (n *fakeTransport) Send(_ context.Context, _ Target, order openai.Order, guard Guard) error {
	if n.beforeGuard != nil {
		n.beforeGuard()
	}
	if err := guard(); err != nil {
		return err
	}
	time.Sleep(n.latency)
	e := n.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.honours && order.Epoch < e.state.Epoch {
		return ErrFenced
	}
	e.state.Epoch = max(e.state.Epoch, order.Epoch)
	e.state.Applied = append(e.state.Applied, order)
	e.state.Role = order.Role
	return nil
}

func (n *fakeTransport) State(context.Context, Target) (openai.OrderState, error) {
	n.engine.mu.Lock()
	defer n.engine.mu.Unlock()
	state := n.engine.state
	state.Applied = slices.Clone(state.Applied)
	return state, nil
}

type fakeWeights struct{ err error }

func (w fakeWeights) Reserve(context.Context, string, string) error { return w.err }

const testTTL = 8 * time.Second

func newTestSender(t *testing.T, transport Transport, weights platform.Weights) *Sender {
	t.Helper()
	s, err := NewSender(transport, weights, DefaultLeaseTiming(testTTL), NewMetrics(prometheus.NewRegistry()), time.Now)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// runHolder sends heartbeats and role orders until ctx ends.
func runHolder(ctx context.Context, s *Sender, target Target, role string, beat func() bool) {
	for ctx.Err() == nil {
		if beat() {
			s.Beat()
		}
		_, _ = s.Reconcile(ctx, target, openai.Order{Kind: openai.OrderRole, Role: role})
		time.Sleep(100 * time.Millisecond)
	}
}

// TestPausedHolder guards against an old holder's order taking effect after a new holder's,
// if the old one is paused between creating an order and checking its guard.
func TestPausedHolder(t *testing.T) {
	for _, honours := range []bool{true, false} {
		for pauseAt := time.Duration(0); pauseAt < testTTL; pauseAt += testTTL / 8 {
			for _, latency := range []time.Duration{0, 2 * time.Second} {
				bubbletest.Run(t, func(t *testing.T) { testPausedHolder(t, honours, pauseAt, latency) })
			}
		}
	}
}

func testPausedHolder(t *testing.T, honours bool, pauseAt, latency time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	engine := &fakeEngine{honours: honours}
	target := Target{Name: "e", HonoursFencing: honours}
	began := time.Now()
	oldNet, newNet := &fakeTransport{engine: engine, latency: latency}, &fakeTransport{engine: engine}
	older, newer := newTestSender(t, oldNet, fakeWeights{}), newTestSender(t, newNet, fakeWeights{})
	older.Renewed(platform.Lease{Epoch: 1}, began)
	older.mu.Lock()
	// The old holder is past its own hand-over wait.
	older.grant.Since = began.Add(-time.Hour)
	older.mu.Unlock()
	paused := false
	oldNet.beforeGuard = func() {
		if !paused && time.Since(began) >= pauseAt {
			paused = true
			time.Sleep(3 * testTTL)
		}
	}
	var holders sync.WaitGroup
	holders.Go(func() { runHolder(ctx, older, target, "old", func() bool { return true }) })
	// The platform ends the old lease early, which is the worst case.
	time.Sleep(pauseAt/2 + time.Second)
	newer.Renewed(platform.Lease{Epoch: 2}, time.Now())
	holders.Go(func() {
		runHolder(ctx, newer, target, "new", func() bool {
			newer.Renewed(platform.Lease{Epoch: 2}, time.Now())
			return true
		})
	})
	time.Sleep(6 * testTTL)
	cancel()
	holders.Wait()
	checkAppliedOrders(t, engine, honours, pauseAt, latency)
}

func checkAppliedOrders(t *testing.T, engine *fakeEngine, honours bool, pauseAt, latency time.Duration) {
	t.Helper()
	applied := engine.state.Applied
	if len(applied) == 0 || applied[len(applied)-1].Epoch != 2 || engine.state.Role != "new" {
		t.Errorf("honours %t, pause at %s: the new holder's order is not in effect: %v", honours, pauseAt, applied)
	}
	if !slices.IsSortedFunc(applied, func(a, b openai.Order) int { return int(a.Epoch - b.Epoch) }) {
		t.Errorf("honours %t, pause at %s, latency %s: an old holder's order took effect after a new one's: %v", honours, pauseAt, latency, applied)
	}
}

func TestHoldReasons(t *testing.T) {
	timing := DefaultLeaseTiming(testTTL)
	began := time.Unix(1000, 0)
	held := Grant{}.Renewed(platform.Lease{Epoch: 3}, began, began)
	for _, c := range []struct {
		name    string
		grant   Grant
		after   time.Duration
		honours bool
		want    HoldReason
	}{
		{name: "no lease", want: ReasonNoLease},
		{name: "fencing honoured", grant: held, honours: true},
		{name: "fencing ignored: hand-over wait", grant: held, want: ReasonHandOver},
		{name: "within the stop margin", grant: held, after: timing.LeaseTTL - timing.StopMargin, honours: true, want: ReasonLeaseEnding},
		{name: "after a pause", grant: held, after: timing.DetectPause + 1, honours: true, want: ReasonPaused},
		{name: "a heartbeat does not end a pause", grant: held.WithHeartbeat(timing, began.Add(time.Second)), after: time.Second, honours: true, want: ReasonPaused},
	} {
		err := c.grant.Check(timing, c.honours, began.Add(c.after))
		var hold *HoldError
		if errors.As(err, &hold) != (c.want != "") || (hold != nil && hold.Reason != c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

func TestWeightRateLimitHoldsLoad(t *testing.T) {
	engine := &fakeEngine{honours: true}
	s := newTestSender(t, &fakeTransport{engine: engine}, fakeWeights{err: platform.ErrRateLimited})
	s.Renewed(platform.Lease{Epoch: 1}, time.Now())
	_, err := s.Reconcile(t.Context(), Target{HonoursFencing: true}, openai.Order{Kind: openai.OrderLoad, Model: "m"})
	var hold *HoldError
	if !errors.As(err, &hold) || hold.Reason != ReasonWeights || len(engine.state.Applied) != 0 {
		t.Errorf("got %v; applied %v", err, engine.state.Applied)
	}
}

// TestHTTPGuardStopsTheWrite guards against sending data on an established connection after
// the guard has refused.
func TestHTTPGuardStopsTheWrite(t *testing.T) {
	received := make(chan openai.Order, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received <- openai.Order{}
		w.WriteHeader(http.StatusConflict)
	}))
	defer server.Close()
	address := server.Listener.Addr().(*net.TCPAddr).String()
	transport := NewHTTPTransport()
	refused := &HoldError{Reason: ReasonPaused}
	err := transport.Send(t.Context(), Target{Address: address}, openai.Order{}, func() error { return refused })
	if !errors.Is(err, refused) || len(received) != 0 {
		t.Errorf("got %v, received %d", err, len(received))
	}
	err = transport.Send(t.Context(), Target{Address: address}, openai.Order{}, func() error { return nil })
	if !errors.Is(err, ErrFenced) || len(received) != 1 {
		t.Errorf("got %v, received %d", err, len(received))
	}
}
