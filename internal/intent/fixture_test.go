package intent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

// fixedBase is a configuration that a test may move.
type fixedBase struct {
	revision         int64
	operator, change string
}

func (b *fixedBase) ConfigRevision(context.Context) (int64, string, string, error) {
	return b.revision, b.operator, b.change, nil
}

func testDocument() *config.Document {
	replicas := func(n int) []config.Replica {
		var list []config.Replica
		for i := range n {
			list = append(list, config.Replica{Name: fmt.Sprintf("r%d", i), Address: "127.0.0.1:1", AvailabilityZone: "bp-csepel"})
		}
		return list
	}
	return &config.Document{
		Classes: []config.Class{{Name: "split", Tier: 1}, {Name: "handheld", Tier: 0}},
		Workspaces: []config.Workspace{
			{Name: "pubs", Classes: []string{"handheld", "split"}, Upstreams: []string{"tab-llm", "tab-api"}},
		},
		Upstreams: []config.Upstream{
			{Name: "tab-llm", Kind: config.KindEngine, SlotsPerReplica: 4, Replicas: replicas(3)},
			{Name: "tab-api", Kind: config.KindService, Replicas: replicas(1)},
		},
	}
}

func testStats() Stats {
	return Stats{
		VMs:      map[string]VMStats{"vm-1": {InFlight: 7, Load: 0.5}, "vm-2": {Load: 0.3}},
		Replicas: map[string]map[string]int{"tab-llm": {"r0": 3, "r1": 2}},
		Demand:   map[string]map[string]float64{"tab-llm": {"handheld": 5, "split": 2}},
	}
}

// bench is a plan store with a counted id source.
type bench struct {
	kv    *memstore.Store
	base  *fixedBase
	store *Store
}

func newBench() *bench {
	b := &bench{kv: memstore.New(memstore.Config{WritesPerSecond: 1e6, ReadsPerSecond: 1e6}), base: &fixedBase{revision: 5}}
	b.store = b.storeOver(b.kv)
	return b
}

var ids int

func (b *bench) storeOver(kv platform.Store) *Store {
	newID := func() string {
		ids++
		return fmt.Sprintf("id-%d", ids)
	}
	return NewStore(kv, b.base, newID, time.Now)
}

func (b *bench) propose(t *testing.T, in Intent) *Plan {
	t.Helper()
	base, err := b.store.Base(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	plan, err := Build(in, testDocument(), base, testStats())
	if err != nil {
		t.Fatal(err)
	}
	plan, err = b.store.Propose(t.Context(), plan, "anna")
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

// actorState is what steps did, as a platform of their own would keep it.
type actorState struct {
	effects map[string]int
	undone  map[string]int
	epochs  []int64
}

// testActor does steps idempotently; effects count only what was new.
type testActor struct {
	state *actorState
	// before and after may crash the executor.
	before, after func(task Task)
	fail          func(task Task) error
}

func (a *testActor) Do(_ context.Context, task Task) (Progress, error) {
	a.before(task)
	if err := a.fail(task); err != nil {
		return Progress{}, err
	}
	a.state.effects[fmt.Sprint(task.Plan.ID, task.Step.Number)] = 1
	a.state.epochs = append(a.state.epochs, task.Epoch)
	a.after(task)
	return Progress{Done: true}, nil
}

func (a *testActor) Undo(_ context.Context, task Task) (Progress, error) {
	key := fmt.Sprint(task.Plan.ID, task.Step.Number)
	a.state.effects[key] = 0
	a.state.undone[key] = 1
	return Progress{Done: true}, nil
}

func newState() *actorState {
	return &actorState{effects: map[string]int{}, undone: map[string]int{}}
}

func newActor(state *actorState) *testActor {
	nothing := func(Task) {}
	return &testActor{state: state, before: nothing, after: nothing, fail: func(Task) error { return nil }}
}

func newExecutor(store *Store, actor Actor) *Executor {
	actors := map[StepKind]Actor{}
	for _, kind := range []StepKind{
		StepWithdrawEntry, StepHandOnDuties, StepAwaitKeepTime, StepAwaitVM, StepMarkLeaving, StepAwaitReplica,
		StepOfferMove, StepAwaitReady, StepArmNodes, StepSeal, StepTransfer, StepOpen, StepSettle,
	} {
		actors[kind] = actor
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewExecutor(store, actors, NewMetrics(prometheus.NewRegistry()), log)
}

var errCrash = errors.New("crash")

// crashStore is the platform as a process reaches it that dies at its nth
// write: before the write takes effect, or after it without hearing so.
type crashStore struct {
	platform.Store
	left      int
	afterward bool
	dead      bool
}

func (s *crashStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.dead {
		return platform.Entry{}, errCrash
	}
	return s.Store.Get(ctx, key)
}

func (s *crashStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (platform.Entry, error) {
	s.left--
	if s.left == 0 {
		s.dead = true
		if s.afterward {
			_, _ = s.Store.CompareAndSwap(ctx, key, expect, value)
		}
	}
	if s.dead {
		return platform.Entry{}, errCrash
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value)
}
