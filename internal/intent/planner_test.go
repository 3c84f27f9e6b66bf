package intent

import (
	"errors"
	"testing"
)

func TestBuild(t *testing.T) {
	for _, c := range []struct {
		name      string
		in        Intent
		steps     []StepKind
		risk      bool
		noReturn  int
		wantField string
	}{
		{name: "drain VM that the rest can carry", in: Intent{Kind: KindDrainVM, VM: "vm-1"}, steps: []StepKind{StepWithdrawEntry, StepHandOnDuties, StepAwaitKeepTime, StepAwaitVM}},
		{name: "drain VM that is not there", in: Intent{Kind: KindDrainVM, VM: "vm-9"}, wantField: "vm"},
		{name: "drain replica: 8 slots cover 5 and 2", in: Intent{Kind: KindDrainReplica, Upstream: "tab-llm", Replica: "r0"}, steps: []StepKind{StepMarkLeaving, StepAwaitReplica}},
		{name: "drain the only replica", in: Intent{Kind: KindDrainReplica, Upstream: "tab-api", Replica: "r0"}, steps: []StepKind{StepMarkLeaving, StepAwaitReplica}, risk: true},
		{name: "move", in: Intent{Kind: KindMoveUpstream, Upstream: "tab-llm", DataCentre: "east"}, steps: []StepKind{StepOfferMove, StepAwaitReady, StepArmNodes, StepSeal, StepTransfer, StepOpen, StepSettle}, noReturn: 4},
		{name: "move of a workspace", in: Intent{Kind: KindMoveWorkspaces, Workspaces: []string{"pubs"}, DataCentre: "east"}, steps: []StepKind{StepOfferMove, StepAwaitReady, StepArmNodes, StepSeal, StepTransfer, StepOpen, StepSettle}, noReturn: 4},
		{name: "move of an unknown workspace", in: Intent{Kind: KindMoveWorkspaces, Workspaces: []string{"x"}, DataCentre: "east"}, wantField: "workspaces"},
		{name: "load on each replica", in: Intent{Kind: KindLoad, Upstream: "tab-llm", Model: "m"}, steps: []StepKind{StepOrderLoad, StepOrderLoad, StepOrderLoad}},
		{name: "load on a service", in: Intent{Kind: KindLoad, Upstream: "tab-api", Model: "m"}, wantField: "upstream"},
		{name: "role of no kind", in: Intent{Kind: KindChangeRole, Upstream: "tab-llm", Role: "x"}, wantField: "role"},
		{name: "declare a VM dead", in: Intent{Kind: KindDeclareDead, VM: "vm-9"}, steps: []StepKind{StepDeclareDead}, risk: true, noReturn: 1},
		{name: "no kind", in: Intent{}, wantField: "kind"},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan, err := Build(c.in, testDocument(), Base{}, testStats())
			var field *FieldError
			if errors.As(err, &field) != (c.wantField != "") || (field != nil && field.Field != c.wantField) {
				t.Fatalf("error %v, want field %q", err, c.wantField)
			}
			if err != nil {
				return
			}
			checkSteps(t, plan, c.steps, c.noReturn)
			if plan.NeedsAcceptRisk != c.risk {
				t.Errorf("needs accept_risk: %t; risks %v", plan.NeedsAcceptRisk, plan.Risks)
			}
		})
	}
}

func checkSteps(t *testing.T, plan *Plan, want []StepKind, noReturn int) {
	t.Helper()
	if len(plan.Steps) != len(want) {
		t.Fatalf("%d steps, want %d", len(plan.Steps), len(want))
	}
	for i, s := range plan.Steps {
		if s.Kind != want[i] || s.Number != i+1 || len(s.Touches) == 0 {
			t.Errorf("step %d is %+v, want kind %s", i+1, s, want[i])
		}
		if s.NoReturn != (s.Number == noReturn) {
			t.Errorf("step %d: no return is %t", s.Number, s.NoReturn)
		}
	}
}

func TestCapacityGoesToHigherTiersFirst(t *testing.T) {
	left := capacityLeft(testDocument(), "tab-llm", 6, map[string]float64{"handheld": 5, "split": 2})
	want := []ClassCapacity{
		{Class: "handheld", Upstream: "tab-llm", Left: 6, Needed: 5},
		{Class: "split", Upstream: "tab-llm", Left: 1, Needed: 2, BelowTarget: true},
	}
	for i, c := range want {
		if left[i] != c {
			t.Errorf("got %+v, want %+v", left[i], c)
		}
	}
}
