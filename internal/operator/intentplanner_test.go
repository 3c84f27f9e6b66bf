package operator

import (
	"errors"
	"testing"

	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/intent"
)

func TestIntentOfTypesTheParameters(t *testing.T) {
	got, err := intentOf(&operatorv1.ProposeRequest{Kind: "move-workspaces", Parameters: map[string]string{
		"workspaces": "angyal-pubs,csepel-clubs", "data_centre": "buda",
	}})
	if err != nil {
		t.Fatal(err)
	}
	if got.Kind != intent.KindMoveWorkspaces || len(got.Workspaces) != 2 || got.DataCentre != "buda" {
		t.Errorf("got %+v", got)
	}
	_, err = intentOf(&operatorv1.ProposeRequest{Kind: "drain-vm", Parameters: map[string]string{"mv": "vm-3"}})
	var wrong *intent.FieldError
	if !errors.As(err, &wrong) || wrong.Field != "mv" || wrong.Value != "vm-3" {
		t.Errorf("got %v", err)
	}
}

func TestEveryPlanStateHasItsCounterpart(t *testing.T) {
	for _, state := range []intent.State{
		intent.StateProposed, intent.StateRunning, intent.StateAbandoning,
		intent.StateAbandoned, intent.StateDone, intent.StateFailed,
	} {
		if got := planToWire(&intent.Plan{State: state}).GetState(); got == operatorv1.PlanState_PLAN_STATE_UNSPECIFIED {
			t.Errorf("state %s has none", state)
		}
	}
}
