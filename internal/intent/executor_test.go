package intent

import (
	"errors"
	"fmt"
	"testing"

	"galenatrestle/internal/bubbletest"
)

// move has a step without return in its middle.
var move = Intent{Kind: KindMoveUpstream, Upstream: "tab-llm", DataCentre: "east"}

func confirmed(t *testing.T, b *bench, in Intent) *Plan {
	t.Helper()
	plan := b.propose(t, in)
	if _, err := b.store.Confirm(t.Context(), plan.ID, "anna", true); err != nil {
		t.Fatal(err)
	}
	return plan
}

// TestExecutorKilledAtEachWrite kills it before and after each of its writes;
// the next holder ends the plan with each step in effect.
func TestExecutorKilledAtEachWrite(t *testing.T) {
	const writes = 17 // take over, 7 steps started and done, finish, head
	for n := 1; n <= writes; n++ {
		for _, afterward := range []bool{false, true} {
			t.Run(fmt.Sprint(n, afterward), func(t *testing.T) {
				bubbletest.Run(t, func(t *testing.T) { killedAtWrite(t, n, afterward) })
			})
		}
	}
}

func killedAtWrite(t *testing.T, n int, afterward bool) {
	b, state := newBench(), newState()
	plan := confirmed(t, b, move)
	kv := &crashStore{Store: b.kv, left: n, afterward: afterward}
	_, _ = newExecutor(b.storeOver(kv), newActor(state)).Pass(t.Context(), 1)
	if !kv.dead {
		t.Fatalf("made fewer than %d writes", n)
	}
	waiting, err := newExecutor(b.store, newActor(state)).Pass(t.Context(), 2)
	if err != nil || waiting != 0 {
		t.Fatalf("%d waiting, %v", waiting, err)
	}
	checkDone(t, b, state, plan.ID)
}

func checkDone(t *testing.T, b *bench, state *actorState, id string) {
	t.Helper()
	plan, err := b.store.Plan(t.Context(), id)
	if err != nil || plan.State != StateDone {
		t.Fatalf("plan %+v, %v", plan, err)
	}
	for _, step := range plan.Steps {
		if state.effects[fmt.Sprint(id, step.Number)] != 1 || step.Started.IsZero() || step.Finished.IsZero() {
			t.Errorf("step %d: %+v", step.Number, step)
		}
	}
	active, err := b.store.Active(t.Context())
	if err != nil || len(active) != 0 {
		t.Errorf("still active: %v, %v", active, err)
	}
}

// TestPausedExecutorIsRefused pauses one inside a step until the next has
// taken over: it does no further step.
func TestPausedExecutorIsRefused(t *testing.T) {
	b, state := newBench(), newState()
	plan := confirmed(t, b, move)
	paused := newActor(state)
	paused.after = func(task Task) {
		if task.Step.Number != 3 {
			return
		}
		if _, err := newExecutor(b.store, newActor(state)).Pass(t.Context(), 2); err != nil {
			t.Fatal(err)
		}
	}
	// The new one ended the plan: the old one finds it under a higher epoch.
	_, err := newExecutor(b.store, paused).Pass(t.Context(), 1)
	if !errors.Is(err, ErrSuperseded) {
		t.Errorf("got %v", err)
	}
	checkDone(t, b, state, plan.ID)
	for i := 1; i < len(state.epochs); i++ {
		if state.epochs[i] < state.epochs[i-1] {
			t.Errorf("steps by epochs %v", state.epochs)
		}
	}
}

func TestAbandonUndoesBeforeTheStepWithoutReturn(t *testing.T) {
	b, state := newBench(), newState()
	plan := confirmed(t, b, move)
	actor := newActor(state)
	actor.before = func(task Task) {
		if task.Step.Number == 3 {
			if _, err := b.store.Abandon(t.Context(), plan.ID); err != nil {
				t.Fatal(err)
			}
		}
	}
	if _, err := newExecutor(b.store, actor).Pass(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	got, err := b.store.Plan(t.Context(), plan.ID)
	if err != nil || got.State != StateAbandoned || len(state.undone) != 3 {
		t.Errorf("state %s, undone %v, %v", got.State, state.undone, err)
	}
}

func TestAbandonIsRefusedAfterTheStepWithoutReturn(t *testing.T) {
	b, state := newBench(), newState()
	plan := confirmed(t, b, move)
	actor := newActor(state)
	var got error
	actor.before = func(task Task) {
		if task.Step.Number == 4 {
			_, got = b.store.Abandon(t.Context(), plan.ID)
		}
	}
	if _, err := newExecutor(b.store, actor).Pass(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	var refused *StateError
	if !errors.As(got, &refused) {
		t.Errorf("got %v", got)
	}
	checkDone(t, b, state, plan.ID)
}

func TestFailedStepIsUndoneAndWaitIsTold(t *testing.T) {
	b, state := newBench(), newState()
	plan := confirmed(t, b, drain)
	actor := newActor(state)
	actor.fail = func(Task) error { return errors.New("engine is away") }
	executor := newExecutor(b.store, actor)
	if waiting, err := executor.Pass(t.Context(), 1); err != nil || waiting != 1 {
		t.Fatalf("%d waiting, %v", waiting, err)
	}
	got, err := b.store.Plan(t.Context(), plan.ID)
	if err != nil || got.Steps[0].Wait != "engine is away" {
		t.Errorf("%+v, %v", got.Steps[0], err)
	}
	actor.fail = func(Task) error { return &FatalError{Reason: "no such replica"} }
	if _, err := executor.Pass(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	got, err = b.store.Plan(t.Context(), plan.ID)
	if err != nil || got.State != StateFailed || got.Failure != "no such replica" {
		t.Errorf("%+v, %v", got, err)
	}
}
