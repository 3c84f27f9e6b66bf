package usage_test

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
	"galenatrestle/internal/usage"
)

const (
	length            = 5 * time.Second
	delay             = 10 * time.Second
	ttl               = 3 * time.Second
	requestsPerSecond = 20
)

// platformStub passes reports to the checker.
type platformStub struct{ checker *dutytest.Checker }

func (c platformStub) Report(_ context.Context, term duty.Term, r usage.Report) error {
	return c.checker.Report(term, r.Window, r.Requests)
}

// fleet simulates nodes that count requests and contend for the duty, in a synctest bubble.
type fleet struct {
	t       *testing.T
	store   *dutytest.Store
	checker *dutytest.Checker
	began   time.Time
	stops   map[string]func()
	runs    int

	mu     sync.Mutex
	meters map[string]*usage.Meter
	kept   map[string]*usage.KeptSums
	dead   map[string]bool
}

func newFleet(t *testing.T, seed uint64, names ...string) *fleet {
	f := &fleet{
		t: t, store: dutytest.NewStore(seed), checker: dutytest.NewChecker(ttl, seed), began: time.Now(),
		meters: make(map[string]*usage.Meter), kept: make(map[string]*usage.KeptSums), stops: make(map[string]func()), dead: make(map[string]bool),
	}
	for _, name := range names {
		f.start(name)
	}
	return f
}

func (f *fleet) clock() boottime.Instant { return boottime.Instant(time.Since(f.began)) + 1 }

// gather returns the counts of all nodes except dead ones.
func (f *fleet) gather(_ context.Context, first int64) (counts []usage.SourceCounts, silent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, m := range f.meters {
		if f.dead[name] {
			silent++
			continue
		}
		counts = append(counts, usage.SourceCounts{Source: name, Windows: m.Since(first), FinalSums: f.kept[name].Since(first)})
	}
	return counts, silent
}

// keepFinalSums has all nodes except dead ones keep the sums.
func (f *fleet) keepFinalSums(_ context.Context, sums []usage.FinalSums) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, kept := range f.kept {
		if !f.dead[name] {
			kept.Keep(sums)
		}
	}
}

// start starts a new process of a node, without state of an earlier one.
func (f *fleet) start(name string) {
	f.runs++
	process := fmt.Sprint(name, "/", f.runs)
	meter := usage.NewMeter(length, time.Now)
	f.mu.Lock()
	f.meters[process] = meter
	f.kept[process] = &usage.KeptSums{}
	f.mu.Unlock()
	registry := prometheus.NewRegistry()
	log := eventlog.New(io.Discard, name)
	reporter := usage.NewReporter(usage.ReporterOptions{
		Store: f.store, Platform: platformStub{f.checker}, Gather: f.gather, KeepFinalSums: f.keepFinalSums,
		Length: length, Delay: delay,
		Now: time.Now, Clock: f.clock, Log: log, Metrics: usage.NewMetrics(registry),
	})
	holder, err := duty.NewHolder(duty.Options{
		Store: f.store, Key: "holder", Node: name, Process: process, TTL: ttl, Contends: func() bool { return true },
		Tasks: []duty.Task{reporter}, Clock: f.clock, Rand: rand.New(rand.NewPCG(uint64(f.runs), 2)), Log: log, Registry: registry,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		go f.count(ctx, meter)
		holder.Run(ctx)
	}()
	f.stops[name] = func() {
		cancel()
		<-done
		f.mu.Lock()
		defer f.mu.Unlock()
		f.dead[process] = true
	}
}

// count begins requests at a fixed rate.
func (f *fleet) count(ctx context.Context, meter *usage.Meter) {
	for ctxtime.Sleep(ctx, time.Second/requestsPerSecond) == nil {
		meter.Began("shop")
	}
}

func (f *fleet) finish() {
	f.store.SetFaults(dutytest.StoreFaults{})
	for _, stop := range f.stops {
		stop()
	}
	f.store.Wait()
	f.checker.Wait()
	for _, broken := range f.checker.Violations() {
		f.t.Error(broken)
	}
}

// overdue returns the windows since the start whose report is overdue.
func (f *fleet) overdue() []int64 {
	reports := f.checker.Reports()
	var missing []int64
	for w := usage.Window(f.began, length) + 1; !usage.End(w, length).Add(delay).After(time.Now()); w++ {
		if _, ok := reports[w]; !ok {
			missing = append(missing, w)
		}
	}
	return missing
}

func TestReportsAreTimelyAndCorrect(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newFleet(t, 1, "a", "b", "c")
		time.Sleep(62 * time.Second)
		if missing := f.overdue(); len(missing) > 0 {
			t.Errorf("windows %v are overdue", missing)
		}
		want := int64(3 * requestsPerSecond * length / time.Second)
		for window, counts := range f.checker.Reports() {
			// The first window began before the fleet. A request at a window's edge may
			// be counted in either window.
			if off := counts["shop"] - want; window > usage.Window(f.began, length) && (off < -3 || off > 3) {
				t.Errorf("window %d: %d requests, want %d", window, counts["shop"], want)
			}
		}
		f.finish()
	})
}

// TestStoreOutageDelaysNoReport has an outage that is shorter than the platform's delay.
func TestStoreOutageDelaysNoReport(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newFleet(t, 1, "a", "b")
		time.Sleep(12 * time.Second)
		f.store.SetFaults(dutytest.StoreFaults{Down: true, Lapse: true})
		time.Sleep(6 * time.Second)
		f.store.SetFaults(dutytest.StoreFaults{})
		for range 40 {
			time.Sleep(time.Second)
			if missing := f.overdue(); len(missing) > 0 {
				t.Fatalf("windows %v are overdue %s after the start", missing, time.Since(f.began))
			}
		}
		f.finish()
	})
}

// TestCrashOfAllNodesLosesOnlyLastSeconds kills all processes in the middle of a window. The
// new processes must report the counts up to a few seconds before the crash, in time.
func TestCrashOfAllNodesLosesOnlyLastSeconds(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newFleet(t, 1, "a", "b", "c")
		time.Sleep(length - time.Since(f.began)%length + 3*length + 4*time.Second)
		window := usage.Window(time.Now(), length)
		for _, name := range []string{"a", "b", "c"} {
			f.stops[name]()
		}
		time.Sleep(1500 * time.Millisecond)
		for _, name := range []string{"a", "b", "c"} {
			f.start(name)
		}
		time.Sleep(delay + 2*length)
		if missing := f.overdue(); len(missing) > 0 {
			t.Errorf("windows %v are overdue", missing)
		}
		counted := f.checker.Reports()[window]["shop"]
		if least := int64(3 * requestsPerSecond); counted < least {
			t.Errorf("%d requests reported for the window of the crash, want at least %d", counted, least)
		}
		f.finish()
	})
}

// TestReportsOfAWindowAreIdentical checks that repeated reports of a window have the same sums
// under random store faults, late calls and changes of the holder.
func TestReportsOfAWindowAreIdentical(t *testing.T) {
	for seed := range uint64(60) {
		bubbletest.Run(t, func(t *testing.T) { playFaults(t, seed) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// Guards against sums that differ from those already sent: the store came back from a copy that
// lacked them, and a node that had counted some of the requests was gone.
func TestRestoredStoreChangesNoReport(t *testing.T) {
	for seed := range uint64(40) {
		bubbletest.Run(t, func(t *testing.T) { playRestores(t, seed) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func playRestores(t *testing.T, seed uint64) {
	names := []string{"a", "b", "c"}
	f := newFleet(t, seed, names...)
	random := rand.New(rand.NewPCG(seed, 4))
	pause := func() { time.Sleep(time.Duration(random.Int64N(int64(length)))) }
	for range 6 {
		pause()
		older := f.store.Copy()
		pause()
		name := names[random.IntN(len(names))]
		f.stops[name]()
		f.start(name)
		pause()
		f.store.Restore(older)
		time.Sleep(delay)
	}
	f.finish()
}

func playFaults(t *testing.T, seed uint64) {
	names := []string{"a", "b", "c"}
	f := newFleet(t, seed, names...)
	random := rand.New(rand.NewPCG(seed, 3))
	for range 20 {
		name := names[random.IntN(len(names))]
		switch random.IntN(5) {
		case 0:
			f.store.SetFaults(dutytest.StoreFaults{Down: true, Lapse: random.IntN(2) == 0})
		case 1:
			f.store.SetFaults(dutytest.StoreFaults{LostAnswerRate: 0.5, LateWriteRate: 0.5})
		case 2:
			f.store.SetFaults(dutytest.StoreFaults{})
			f.checker.SetLateRate(random.Float64() / 2)
		case 3:
			f.stops[name]()
			f.start(name)
		case 4:
			f.checker.SetLateRate(0)
		}
		time.Sleep(time.Duration(random.Int64N(int64(length))))
	}
	f.finish()
}
