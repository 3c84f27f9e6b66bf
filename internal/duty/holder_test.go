package duty_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/duty"
	"galenatrestle/internal/duty/dutytest"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/platform"
)

const ttl = 3 * time.Second

// actor calls the platform repeatedly while its node is the holder.
type actor struct{ checker *dutytest.Checker }

func (a actor) Run(ctx context.Context, term duty.Term) {
	for ctx.Err() == nil {
		if term.Held() {
			// The checker records the outcome.
			_ = a.checker.Handle(term, "subject", func() {})
		}
		if ctxtime.Sleep(ctx, 100*time.Millisecond) != nil {
			return
		}
	}
}

// cutStore is one node's connection to the store, which can be cut.
type cutStore struct {
	duty.Store
	cut func() bool
}

func (s cutStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.cut() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s cutStore) Renew(ctx context.Context, id int64) error {
	if s.cut() {
		return platform.ErrUnavailable
	}
	return s.Store.Renew(ctx, id)
}

// fleet is a set of nodes that contend for one duty, inside a synctest bubble.
type fleet struct {
	t         *testing.T
	store     *dutytest.Store
	checker   *dutytest.Checker
	startedAt time.Time
	stops     map[string]context.CancelFunc
	done      map[string]chan struct{}
	runs      int

	mu  sync.Mutex
	cut map[string]bool
}

func (f *fleet) isCut(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[name]
}

// setCut cuts or restores the node's connection to the store.
func (f *fleet) setCut(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[name] = cut
}

func newFleet(t *testing.T, seed uint64) *fleet {
	return &fleet{
		t: t, store: dutytest.NewStore(seed), checker: dutytest.NewChecker(ttl, seed), startedAt: time.Now(),
		stops: make(map[string]context.CancelFunc), done: make(map[string]chan struct{}), cut: make(map[string]bool),
	}
}

func (f *fleet) clock() boottime.Instant { return boottime.Instant(time.Since(f.startedAt)) + 1 }

func (f *fleet) start(name string) {
	f.runs++
	holder, err := duty.NewHolder(duty.Options{
		Store: cutStore{f.store, func() bool { return f.isCut(name) }}, Key: "holder", Node: name, Process: fmt.Sprint(name, "/", f.runs), TTL: ttl,
		Contends: func() bool { return true }, Tasks: []duty.Task{actor{f.checker}}, Clock: f.clock,
		Rand: rand.New(rand.NewPCG(uint64(f.runs), 2)), Log: eventlog.New(io.Discard, name), Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan struct{})
	f.stops[name], f.done[name] = cancel, done
	go func() {
		defer close(done)
		holder.Run(ctx)
	}()
}

// stop shuts a node down gracefully.
func (f *fleet) stop(name string) {
	f.stops[name]()
	<-f.done[name]
}

// finish stops all nodes and reports the checker's violations.
func (f *fleet) finish() {
	f.store.SetFaults(dutytest.StoreFaults{})
	for name := range f.stops {
		f.stop(name)
	}
	f.store.Wait()
	f.checker.Wait()
	for _, violation := range f.checker.Violations() {
		f.t.Error(violation)
	}
}

// holder returns the node that made the last call.
func (f *fleet) holder() string {
	calls := f.checker.Calls()
	if len(calls) == 0 {
		return ""
	}
	return calls[len(calls)-1].Holder
}

// lastCall returns the time since the last call.
func (f *fleet) lastCall() time.Duration {
	calls := f.checker.Calls()
	if len(calls) == 0 {
		return time.Since(f.startedAt)
	}
	return time.Since(calls[len(calls)-1].At)
}

func TestCutOffHolderStopsAndIsReplaced(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.start("a")
		f.start("b")
		time.Sleep(5 * time.Second)
		first := f.holder()
		if first == "" {
			t.Fatal("no node became the holder within 5 s")
		}
		f.setCut(first, true)
		time.Sleep(2 * ttl)
		if second := f.holder(); second == first || f.lastCall() > time.Second {
			t.Errorf("last call by %s, %s was cut off from the store for %s; last call %s ago", second, first, 2*ttl, f.lastCall())
		}
		f.finish()
	})
}

func TestGracefulStopHandsOverAtOnce(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.start("a")
		f.start("b")
		time.Sleep(2 * ttl)
		first := f.holder()
		f.stop(first)
		time.Sleep(ttl / 2)
		if f.holder() == first {
			t.Errorf("no node took over from %s within %s", first, ttl/2)
		}
		f.start(first)
		time.Sleep(ttl)
		f.finish()
	})
}

// Stops each holder right after its first call: the previous holder may not act again
// within the lease.
func TestShortTermsDoNotAlternate(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newFleet(t, 1)
		for _, name := range []string{"a", "b", "c"} {
			f.start(name)
		}
		for range 40 {
			time.Sleep(ttl / 15)
			name := f.holder()
			if name == "" || f.lastCall() > ttl/15 {
				continue
			}
			f.stop(name)
			time.Sleep(ttl / 5)
			f.start(name)
		}
		f.finish()
	})
}

// Lets leases lapse in store outages, and loses the answers of writes or delays the
// writes, in random order: no two terms may get the same fencing token.
func TestFencingTokensAreUnique(t *testing.T) {
	for seed := range uint64(200) {
		bubbletest.Run(t, func(t *testing.T) { runRandomFaults(t, seed) })
		if t.Failed() {
			t.Fatalf("guarantees violated with seed %d", seed)
		}
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	f := newFleet(t, seed)
	random := rand.New(rand.NewPCG(seed, 3))
	names := []string{"a", "b", "c"}
	for _, name := range names {
		f.start(name)
	}
	for range 30 {
		name := names[random.IntN(len(names))]
		switch random.IntN(6) {
		case 0:
			f.store.SetFaults(dutytest.StoreFaults{Down: true, Lapse: random.IntN(2) == 0})
		case 1:
			f.store.SetFaults(dutytest.StoreFaults{LostAnswerRate: 0.5, LateWriteRate: 0.5})
		case 2:
			f.store.SetFaults(dutytest.StoreFaults{})
			f.checker.SetLateRate(random.Float64() / 2)
		case 3:
			f.stop(name)
			f.start(name)
		case 4:
			f.setCut(name, !f.isCut(name))
		case 5:
			f.checker.SetLateRate(0)
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * ttl))))
	}
	f.store.SetFaults(dutytest.StoreFaults{})
	f.checker.SetLateRate(0)
	for _, name := range names {
		f.setCut(name, false)
	}
	time.Sleep(3 * ttl)
	if f.lastCall() > time.Second {
		t.Errorf("no node calls the platform %s after the faults ended", 3*ttl)
	}
	f.finish()
}
