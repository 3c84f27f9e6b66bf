package handover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform/memstore"
)

// simLegs are the moves of one schedule: there and back.
var simLegs = []struct{ id, from, to string }{
	{"there", "west", "east"},
	{"back", "east", "west"},
}

// simFault is one fault of a schedule.
type simFault struct {
	name  string
	apply func(w *simWorld, side *simSide, random *rand.Rand, length time.Duration)
}

var simFaults = []simFault{
	{"node killed", func(w *simWorld, side *simSide, random *rand.Rand, length time.Duration) {
		n := side.nodes[random.IntN(len(side.nodes))]
		n.stop()
		sleep(w.ctx, length)
		if w.ctx.Err() == nil {
			n.start()
		}
	}},
	{"platform down", func(_ *simWorld, side *simSide, _ *rand.Rand, length time.Duration) {
		_ = side.kv.Inject(memstore.Fault{Kind: memstore.Down, For: length})
	}},
	{"answers lost", func(_ *simWorld, side *simSide, _ *rand.Rand, length time.Duration) {
		_ = side.kv.Inject(memstore.Fault{Kind: memstore.LostAnswer, For: length, Factor: 0.5})
	}},
	{"platform slow", func(_ *simWorld, side *simSide, _ *rand.Rand, length time.Duration) {
		_ = side.kv.Inject(memstore.Fault{Kind: memstore.Slow, For: length, Factor: 200})
	}},
	{"lease lapsed", func(_ *simWorld, side *simSide, _ *rand.Rand, _ time.Duration) {
		_ = side.kv.Inject(memstore.Fault{Kind: memstore.LeaseLapse})
	}},
	{"node cut off from all but callers", func(_ *simWorld, side *simSide, random *rand.Rand, length time.Duration) {
		side.nodes[random.IntN(len(side.nodes))].cutOff(2 * length)
	}},
	{"link cut", func(w *simWorld, _ *simSide, _ *rand.Rand, length time.Duration) {
		w.outer.disturb(length, 0, 0)
	}},
	{"messages lost, doubled, reordered", func(w *simWorld, side *simSide, _ *rand.Rand, length time.Duration) {
		w.outer.disturb(0, 0.3, 0.5)
		side.inner.disturb(0, 0.2, 0.5)
		sleep(w.ctx, length)
		w.outer.disturb(0, 0, 0)
		side.inner.disturb(0, 0, 0)
	}},
}

func (l *simLink) disturb(cut time.Duration, loss, double float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut > 0 {
		l.cutUntil = time.Now().Add(cut)
		return
	}
	l.loss, l.double = loss, double
}

// simResult collects what callers saw.
type simResult struct {
	mu      sync.Mutex
	answers []simAnswer
}

func (r *simResult) add(a simAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

// load sends requests until ctx ends, and waits for their answers.
func (w *simWorld) load(ctx context.Context, random *rand.Rand, result *simResult) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		side := w.sides[random.IntN(w.callersAt)]
		n := side.nodes[random.IntN(len(side.nodes))]
		key := ""
		if random.IntN(3) == 0 {
			// Some keys come again, at any node of any side.
			key = fmt.Sprintf("key-%d", i-random.IntN(60))
		}
		length := time.Duration(random.IntN(1500)) * time.Millisecond
		calls.Go(func() {
			call, cancel := context.WithTimeout(context.Background(), simDeadline)
			defer cancel()
			result.add(n.handle(call, fmt.Sprintf("request-%d", i), key, length, 0))
		})
		sleep(ctx, w.interval/2+time.Duration(random.Int64N(int64(w.interval))))
	}
}

func (w *simWorld) side(name string) *simSide {
	if w.sides[0].name == name {
		return w.sides[0]
	}
	return w.sides[1]
}

// move has an operator begin a move and waits until both sides are done; it
// returns false where that takes too long.
func (w *simWorld) move(id, from, to string) bool {
	source, target := w.side(from), w.side(to)
	store, other := NewMoveStore(source.kv, w.newID), NewMoveStore(target.kv, w.newID)
	set := Set{Upstreams: []string{simUpstream}}
	for range 600 {
		m, err := store.Begin(w.ctx, id, set, to, time.Now())
		if err == nil && !m.SealAllowed {
			_, _ = store.AllowSeal(w.ctx, id)
		}
		there, otherErr := other.Move(w.ctx, id)
		if err == nil && otherErr == nil && m.Phase == PhaseDone && there.Phase == PhaseDone {
			return true
		}
		sleep(w.ctx, 200*time.Millisecond)
	}
	return false
}

// runSchedule runs a move there and back under load, with the faults that the
// seed draws for each, and returns the world and what callers saw.
func runSchedule(t *testing.T, seed uint64, faults int, arrow func(w *simWorld) func(MessageKind, bool)) (*simWorld, *simResult) {
	ctx, cancel := context.WithCancel(context.Background())
	w := newSimWorld(ctx, seed)
	if arrow != nil {
		w.arrow = arrow(w)
	}
	result := &simResult{}
	random := rand.New(rand.NewPCG(seed, 77))
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load, disturbing sync.WaitGroup
	load.Go(func() { w.load(loadCtx, rand.New(rand.NewPCG(seed, 78)), result) })
	time.Sleep(2 * w.timing.Term)
	for _, leg := range simLegs {
		for range faults {
			fault := simFaults[random.IntN(len(simFaults))]
			side := w.sides[random.IntN(2)]
			after := time.Duration(random.IntN(2000)) * time.Millisecond
			length := time.Duration(200+random.IntN(6000)) * time.Millisecond
			own := rand.New(rand.NewPCG(seed, random.Uint64()))
			disturbing.Go(func() {
				time.Sleep(after)
				fault.apply(w, side, own, length)
			})
		}
		if !w.move(leg.id, leg.from, leg.to) {
			t.Errorf("seed %d: move %s is not done: %s", seed, leg.id, w.state(leg.id))
		}
		disturbing.Wait()
		time.Sleep(2 * time.Second)
	}
	stopLoad()
	load.Wait()
	w.checkTruth(t, seed, result)
	cancel()
	w.work.Wait()
	w.outer.late.Wait()
	w.sides[0].inner.late.Wait()
	w.sides[1].inner.late.Wait()
	return w, result
}

func (w *simWorld) state(id string) string {
	text := ""
	for _, side := range w.sides {
		m, err := NewMoveStore(side.kv, w.newID).Move(w.ctx, id)
		text += fmt.Sprintf("%s: %s at driver epoch %d (%v); ", side.name, m.Phase, m.DriverEpoch, err)
		for _, n := range side.nodes {
			text += n.driver.Waiting(id) + "; "
		}
	}
	return text
}

// checkTruth compares what callers saw with what ran.
func (w *simWorld) checkTruth(t *testing.T, seed uint64, result *simResult) {
	t.Helper()
	runs := map[string]int{}
	sides, switches := "west", 0
	for _, run := range w.truth.runs {
		runs[run.id]++
		if run.side != sides {
			sides, switches = run.side, switches+1
		}
	}
	if switches != len(simLegs) {
		t.Errorf("seed %d: work started on the other side %d times in %d moves", seed, switches, len(simLegs))
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("seed %d: %s ran %d times", seed, id, n)
		}
	}
	for _, a := range result.answers {
		if a.outcome == "not-run" && runs[a.id] > 0 {
			t.Errorf("seed %d: %s was said not to have run, but did", seed, a.id)
		}
		if a.outcome == "answered" && runs[a.text[len("result of "):]] != 1 {
			t.Errorf("seed %d: %s was answered with %q, which did not run", seed, a.id, a.text)
		}
	}
}

// TestMoveWithoutFaults sends a request a millisecond and looks at the longest
// waits at the gate.
func TestMoveWithoutFaults(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		w, result := runSchedule(t, 1, 0, func(w *simWorld) func(MessageKind, bool) {
			w.interval, w.callersAt = time.Millisecond, 1
			return nil
		})
		var waits []time.Duration
		for _, a := range result.answers {
			if a.outcome != "answered" && a.outcome != "open" {
				t.Errorf("%s: %s %s", a.id, a.outcome, a.text)
			}
			if a.waited > 0 {
				waits = append(waits, a.waited)
			}
		}
		for _, run := range w.truth.runs {
			if !run.ended {
				t.Errorf("%s did not end", run.id)
			}
		}
		if len(waits) == 0 {
			t.Fatal("no request waited: the moves were not met by load")
		}
		longest := slices.Max(waits)
		t.Logf("%d requests, %d waited, the longest %s", len(result.answers), len(waits), longest)
		if longest > 250*time.Millisecond {
			t.Errorf("a request waited %s for a move without faults", longest)
		}
	})
}

func TestMoveUnderFaults(t *testing.T) {
	const schedules, workers = 200, 4
	for worker := range uint64(workers) {
		t.Run(fmt.Sprint("seeds of worker ", worker), func(t *testing.T) {
			t.Parallel()
			requests, answered := 0, 0
			for seed := worker; seed < schedules; seed += workers {
				bubbletest.Run(t, func(t *testing.T) {
					_, result := runSchedule(t, seed, 1+int(seed%3), nil)
					requests += len(result.answers)
					for _, a := range result.answers {
						if a.outcome == "answered" {
							answered++
						}
					}
				})
			}
			t.Logf("%d requests, %d answered", requests, answered)
			if answered == 0 {
				t.Error("no request was answered: the schedules show nothing")
			}
		})
	}
}
