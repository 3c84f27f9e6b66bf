package embedded

import (
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"

	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/order"
	"galenatrestle/internal/standin/engine"
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
	const callers, more = 40, 80
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
	plan := beginPlan(t, pair.West, "move-workspaces", map[string]string{"workspaces": "prairie-spoke", "data_centre": East})
	failsWith(t, pair.West, plan.GetId(), "may not be repeated")
	if status, text, err := chatAt(t.Context(), pair.West.Nodes[0].EntryAddress(), 4); err != nil || status != http.StatusOK {
		t.Errorf("after the refusal: %d %s %v", status, text, err)
	}
}

// failsWith waits until the plan has failed for the reason.
func failsWith(t *testing.T, d *Deployment, id, reason string) {
	t.Helper()
	var plan *operatorv1.Plan
	eventually(t, "the plan's failure", func() bool {
		got, err := operatorOf(d).GetPlan(t.Context(), connect.NewRequest(&operatorv1.GetPlanRequest{PlanId: id}))
		if err == nil {
			plan = got.Msg.GetPlan()
		}
		return plan.GetState() == operatorv1.PlanState_PLAN_STATE_FAILED
	})
	if !strings.Contains(plan.GetDetail(), reason) {
		t.Errorf("the plan failed with %q, want %q", plan.GetDetail(), reason)
	}
}

// TestMoveWithoutRoomIsRefusedBeforeTheSeal moves the load of two engines to a
// data centre that has one.
func TestMoveWithoutRoomIsRefusedBeforeTheSeal(t *testing.T) {
	// Slow engines, so that all slots of the west are in use also where a busy machine
	// holds the callers up: a load of up to 8 has room in the east.
	slow := engine.Options{Speed: 0.2}
	pair, err := StartPair(Options{Nodes: 2, Engines: 2, Services: 1, Engine: slow}, Options{Nodes: 2, Engines: 1, Services: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pair.Close)
	const callers = 40
	load := startCallers(t, pair.West, callers)
	load.await(t, callers)
	plan := beginPlan(t, pair.West, "move-upstream", map[string]string{"upstream": engineUpstream, "data_centre": East})
	if !plan.GetNeedsAcceptRisk() {
		t.Error("the plan needs no accepted risk")
	}
	failsWith(t, pair.West, plan.GetId(), "has 8 slots free here")
	load.await(t, callers)
	load.stop()
	load.running.Wait()
	if runs := runsOf(pair.East); runs != 0 {
		t.Errorf("the east ran %d requests", runs)
	}
}

// TestTargetLoadsTheModels moves an upstream whose adapter no engine of the
// target has yet.
func TestTargetLoadsTheModels(t *testing.T) {
	const adapter = "torque-notes"
	options := Options{Nodes: 2, Engines: 2, Services: 1, Engine: engine.Options{HonoursFencing: true}}
	options.Config = strings.Replace(defaultConfig, "slots_per_replica: 8", "slots_per_replica: 8\n    adapters: ["+adapter+"]", 1)
	pair, err := StartPair(options, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pair.Close)
	plan := beginPlan(t, pair.West, "move-upstream", map[string]string{"upstream": engineUpstream, "data_centre": East})
	endOfPlan(t, pair.West, plan.GetId())
	transport := order.NewHTTPTransport()
	for _, u := range pair.East.document.Upstreams {
		if u.Name != engineUpstream {
			continue
		}
		for _, r := range u.Replicas {
			state, err := transport.State(t.Context(), order.Target{Name: r.Name, Address: r.Address})
			if err != nil {
				t.Fatal(err)
			}
			if len(state.Models) != 2 || state.Models[1].Name != adapter {
				t.Errorf("%s has %v", r.Name, state.Models)
			}
		}
	}
}
