package intent

import (
	"errors"
	"testing"

	"galenatrestle/internal/platform/memstore"
)

var drain = Intent{Kind: KindDrainReplica, Upstream: "tab-llm", Replica: "r0"}

func TestOfTwoRacingOperatorsOneWins(t *testing.T) {
	b := newBench()
	first, second := b.propose(t, drain), b.propose(t, Intent{Kind: KindDrainVM, VM: "vm-1"})
	if _, err := b.store.Confirm(t.Context(), first.ID, "anna", false); err != nil {
		t.Fatal(err)
	}
	_, err := b.store.Confirm(t.Context(), second.ID, "bela", false)
	var stale *StaleError
	if !errors.As(err, &stale) || stale.Operator != "anna" || stale.Change != drain.Summary() {
		t.Fatalf("got %v, want a stale plan through anna's drain", err)
	}
	if _, err := b.store.Confirm(t.Context(), first.ID, "anna", false); err != nil {
		t.Errorf("confirmed again: %v", err)
	}
}

func TestConfirmRefusesAMovedConfiguration(t *testing.T) {
	b := newBench()
	plan := b.propose(t, drain)
	b.base.revision, b.base.operator, b.base.change = 6, "csilla", "class split"
	_, err := b.store.Confirm(t.Context(), plan.ID, "anna", false)
	var stale *StaleError
	if !errors.As(err, &stale) || stale.Operator != "csilla" || stale.Now.Config != 6 {
		t.Fatalf("got %v", err)
	}
}

// TestAPlanProposedAfterAnotherIsDoneIsNotStale: the executor makes a plan final before
// it takes it from the head, and an operator may propose the next one in between.
func TestAPlanProposedAfterAnotherIsDoneIsNotStale(t *testing.T) {
	b := newBench()
	first := b.propose(t, drain)
	confirmed, err := b.store.Confirm(t.Context(), first.ID, "anna", false)
	if err != nil {
		t.Fatal(err)
	}
	done := confirmed.clone()
	done.State = StateDone
	if _, err := b.store.writePlan(t.Context(), done); err != nil {
		t.Fatal(err)
	}
	base, err := b.store.Base(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := b.store.retire(t.Context(), done); err != nil {
		t.Fatal(err)
	}
	if after, err := b.store.Base(t.Context()); err != nil || after != base {
		t.Errorf("base %+v before the executor's next step, %+v after it (%v): the next plan is stale", base, after, err)
	}
}

func TestConfirmNeedsAcceptedRisk(t *testing.T) {
	b := newBench()
	plan := b.propose(t, Intent{Kind: KindDrainReplica, Upstream: "tab-api", Replica: "r0"})
	_, err := b.store.Confirm(t.Context(), plan.ID, "anna", false)
	var risk *RiskError
	if !errors.As(err, &risk) || len(risk.Risks) == 0 {
		t.Fatalf("got %v", err)
	}
	if _, err := b.store.Confirm(t.Context(), plan.ID, "anna", true); err != nil {
		t.Error(err)
	}
}

func TestLostAnswersAreResolved(t *testing.T) {
	b := newBench()
	lose := func() {
		if err := b.kv.Inject(memstore.Fault{Kind: memstore.LostAnswer, Factor: 1}); err != nil {
			t.Fatal(err)
		}
	}
	lose()
	plan := b.propose(t, drain)
	lose()
	if _, err := b.store.Confirm(t.Context(), plan.ID, "anna", false); err != nil {
		t.Fatal(err)
	}
	active, err := b.store.Active(t.Context())
	if err != nil || len(active) != 1 || active[0] != plan.ID {
		t.Fatalf("active %v, %v", active, err)
	}
	lose()
	if plan, err = b.store.Abandon(t.Context(), plan.ID); err != nil || plan.State != StateAbandoned {
		t.Errorf("%+v, %v", plan, err)
	}
}

func TestAbandonedPlanIsNotConfirmed(t *testing.T) {
	b := newBench()
	plan := b.propose(t, drain)
	if _, err := b.store.Abandon(t.Context(), plan.ID); err != nil {
		t.Fatal(err)
	}
	_, err := b.store.Confirm(t.Context(), plan.ID, "anna", false)
	var state *StateError
	if !errors.As(err, &state) || state.State != StateAbandoned {
		t.Fatalf("got %v", err)
	}
}
