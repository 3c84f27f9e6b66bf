package embedded

import (
	"net/http"
	"testing"

	"connectrpc.com/connect"

	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
)

// TestMoveThereAndBackByOperators moves the engines' model to the other data
// centre and back through the operator service. Callers go on asking the west,
// more of them than there are slots, so that queued requests meet the seal.
func TestMoveThereAndBackByOperators(t *testing.T) {
	options := Options{Nodes: 2, Engines: 2, Services: 1}
	pair, err := StartPair(options, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pair.Close)
	const callers, more = 4, 20
	load := startCallers(t, pair.West, callers)
	for _, leg := range []struct {
		from, to *Deployment
		name     string
	}{{pair.West, pair.East, East}, {pair.East, pair.West, West}} {
		load.await(t, callers)
		plan := beginPlan(t, leg.from, "move-upstream", map[string]string{"upstream": engineUpstream, "data_centre": leg.name})
		if open := plan.GetSteps()[5].GetCapacity(); len(open) == 0 || open[0].GetLeft() != 16 {
			t.Errorf("the plan tells nothing of the free slots of %s: %v", leg.name, open)
		}
		endOfPlan(t, leg.from, plan.GetId())
		begun := runsOf(leg.to)
		load.await(t, more)
		// An answer of the other side may still have been on its way to a caller.
		if got := runsOf(leg.to) - begun; got < more-callers {
			t.Errorf("%s answered %d of %d requests", leg.name, got, more)
		}
	}
	load.stop()
	load.running.Wait()
	if runs := runsOf(pair.West) + runsOf(pair.East); runs != load.answered.Load() {
		t.Errorf("%d runs for %d answered requests", runs, load.answered.Load())
	}
	checkUnrepeatableStays(t, pair)
}

// checkUnrepeatableStays checks that a set with unrepeatable calls is refused.
func checkUnrepeatableStays(t *testing.T, pair *Pair) {
	t.Helper()
	id := beginPlan(t, pair.West, "move-workspaces", map[string]string{"workspaces": "prairie-spoke", "data_centre": East}).GetId()
	var plan *operatorv1.Plan
	eventually(t, "the refusal", func() bool {
		got, err := operatorOf(pair.West).GetPlan(t.Context(), connect.NewRequest(&operatorv1.GetPlanRequest{PlanId: id}))
		if err == nil {
			plan = got.Msg.GetPlan()
		}
		return plan.GetState() == operatorv1.PlanState_PLAN_STATE_FAILED
	})
	if status, text, err := chatAt(t.Context(), pair.West.Nodes[0].EntryAddress(), 4); err != nil || status != http.StatusOK {
		t.Errorf("after the refusal: %d %s %v", status, text, err)
	}
}
