package embedded

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	drainv1 "galenatrestle/internal/gen/trestle/drain/v1"
	"galenatrestle/internal/gen/trestle/drain/v1/drainv1connect"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/handover"
	"galenatrestle/internal/intent"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/standin/engine"
)

// workOf asks a node for its work as other nodes do.
func workOf(t *testing.T, d *Deployment, node int) *drainv1.GetWorkResponse {
	t.Helper()
	registry := prometheus.NewRegistry()
	keys, err := peer.NewKeys(peer.KeyFiles{}, registry)
	if err != nil {
		t.Fatal(err)
	}
	clients := peer.NewClients(keys, peer.Settings{}, registry)
	defer clients.Close()
	link := d.links[node]
	client := drainv1connect.NewDrainServiceClient(clients.HTTPClient(link), clients.URL(link))
	response, err := client.GetWork(t.Context(), connect.NewRequest(&drainv1.GetWorkRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	return response.Msg
}

// dutyHolder waits for the node that carries out plans.
func dutyHolder(t *testing.T, d *Deployment) int {
	t.Helper()
	holder := -1
	eventually(t, "a holder of the duty", func() bool {
		holder = slices.IndexFunc(d.links, func(link string) bool {
			return slices.Contains(workOf(t, d, slices.Index(d.links, link)).GetDuties(), "lease control")
		})
		return holder >= 0
	})
	return holder
}

// beginPlan proposes an intent at the first node and confirms its plan.
func beginPlan(t *testing.T, d *Deployment, kind string, parameters map[string]string) *operatorv1.Plan {
	t.Helper()
	client := operatorOf(d)
	proposed, err := client.Propose(t.Context(), connect.NewRequest(&operatorv1.ProposeRequest{Kind: kind, Parameters: parameters}))
	if err != nil {
		t.Fatal(err)
	}
	plan := proposed.Msg.GetPlan()
	if _, err := client.Confirm(t.Context(), connect.NewRequest(&operatorv1.ConfirmRequest{PlanId: plan.GetId(), AcceptRisk: true})); err != nil {
		t.Fatal(err)
	}
	return plan
}

// endOfPlan waits for the plan's end and returns it.
func endOfPlan(t *testing.T, d *Deployment, id string) *operatorv1.Plan {
	t.Helper()
	var plan *operatorv1.Plan
	eventually(t, "the plan's end", func() bool {
		got, err := operatorOf(d).GetPlan(t.Context(), connect.NewRequest(&operatorv1.GetPlanRequest{PlanId: id}))
		if err != nil {
			return false
		}
		plan = got.Msg.GetPlan()
		return plan.GetState() != operatorv1.PlanState_PLAN_STATE_RUNNING
	})
	if plan.GetState() != operatorv1.PlanState_PLAN_STATE_DONE {
		t.Fatalf("the plan is %s: %s", plan.GetState(), plan.GetDetail())
	}
	for _, step := range plan.GetSteps() {
		if step.GetStartedAtUnixMs() == 0 || step.GetFinishedAtUnixMs() < step.GetStartedAtUnixMs() {
			t.Errorf("step %d has no times: %v", step.GetNumber(), step)
		}
	}
	return plan
}

// TestDrainsUnderLoadCutNothing drains a replica, then the VM that carries out
// the plans, while callers go on: each request is answered by one run.
func TestDrainsUnderLoadCutNothing(t *testing.T) {
	d := startWith(t, Options{Nodes: 4, Engines: 3, Services: 1})
	victim := dutyHolder(t, d)
	load := startCallers(t, d, 6)
	load.await(t, 20)
	plan := beginPlan(t, d, "drain-replica", map[string]string{"upstream": engineUpstream, "replica": engineUpstream + "-0"})
	if first := plan.GetSteps()[0]; len(first.GetCapacity()) == 0 || first.GetCapacity()[0].GetLeft() != 16 {
		t.Errorf("the plan tells no capacity: %v", first)
	}
	endOfPlan(t, d, plan.GetId())
	begun := d.Engine(0).Runs().Report().Totals.Begun
	load.await(t, 50)
	if more := d.Engine(0).Runs().Report().Totals.Begun - begun; more != 0 {
		t.Errorf("the drained replica got %d requests", more)
	}
	plan = beginPlan(t, d, "drain-vm", map[string]string{"vm": d.Nodes[victim].Name()})
	if end := endOfPlan(t, d, plan.GetId()); !strings.Contains(end.GetDetail(), "may be stopped") {
		t.Errorf("the plan says %q", end.GetDetail())
	}
	work := workOf(t, d, victim)
	if work.GetInFlight() != 0 || len(work.GetDuties()) != 0 {
		t.Errorf("the drained VM has %v", work)
	}
	for _, entry := range entriesAt(t, d, (victim+1)%len(d.Nodes)).Entries {
		if entry.Address == d.Nodes[victim].EntryAddress() {
			t.Errorf("the drained VM is an entry")
		}
	}
	load.await(t, 50)
	load.stop()
	load.running.Wait()
	runs := runsOf(d)
	if runs != load.answered.Load() {
		t.Errorf("%d runs for %d answered requests", runs, load.answered.Load())
	}
	t.Logf("%d requests answered", runs)
}

// TestDrainGoesOnAfterItsExecutorsCrash kills the node that carries out a drain
// while the drain waits for a request in flight.
func TestDrainGoesOnAfterItsExecutorsCrash(t *testing.T) {
	d := startWith(t, Options{Nodes: 3, Engines: 2, Services: 1})
	executor := dutyHolder(t, d)
	asking, stop := context.WithCancel(t.Context())
	defer stop()
	other := (executor + 1) % len(d.Nodes)
	go func() { _, _, _ = chatAt(asking, d.Nodes[other].EntryAddress(), 4000) }()
	var replica string
	eventually(t, "a request in flight", func() bool {
		for _, r := range workOf(t, d, other).GetReplicas() {
			if r.GetRunning() > 0 {
				replica = r.GetReplica()
			}
		}
		return replica != ""
	})
	id := beginPlan(t, d, "drain-replica", map[string]string{"upstream": engineUpstream, "replica": replica}).GetId()
	plans := intent.NewStore(d.Platform(), nil, uuid.NewString, time.Now)
	var plan *intent.Plan
	look := func(holds func() bool) func() bool {
		return func() bool {
			var err error
			plan, err = plans.Plan(t.Context(), id)
			return err == nil && holds()
		}
	}
	eventually(t, "a wait for the request", look(func() bool { return strings.Contains(plan.Steps[1].Wait, "1 requests in flight") }))
	before := plan.Epoch
	d.Kill(executor)
	eventually(t, "another executor", look(func() bool { return plan.Epoch > before }))
	if plan.State != intent.StateRunning {
		t.Errorf("the drain is %s with a request in flight", plan.State)
	}
	stop()
	eventually(t, "the drain's end", look(func() bool { return plan.State == intent.StateDone }))
}

// TestStatusNamesACrashedVM kills a VM: it stays registered, which status says
// until it is declared dead.
func TestStatusNamesACrashedVM(t *testing.T) {
	d := startWith(t, Options{Nodes: 3, Engines: 1, Services: 1})
	const killed = 1
	dutyHolder(t, d)
	name := d.Nodes[killed].Name()
	registered := func() bool {
		_, err := d.Platform().Get(t.Context(), handover.NodePrefix+name)
		return err == nil
	}
	eventually(t, "the registration", registered)
	d.Kill(killed)
	absent := func() []string {
		status, err := operatorOf(d).GetStatus(t.Context(), connect.NewRequest(&operatorv1.GetStatusRequest{}))
		if err != nil {
			t.Fatal(err)
		}
		return status.Msg.GetAbsent()
	}
	eventually(t, "the killed VM is absent", func() bool { return slices.Equal(absent(), []string{name}) })
	endOfPlan(t, d, beginPlan(t, d, "declare-vm-dead", map[string]string{"vm": name}).GetId())
	if names := absent(); len(names) != 0 {
		t.Errorf("%v are absent after the declaration", names)
	}
}

// TestAbandonedDrainServesAgain abandons the drain of the VM that carries out
// plans: it returns to the entries and takes duties again.
func TestAbandonedDrainServesAgain(t *testing.T) {
	d := startWith(t, Options{Nodes: 2, Engines: 1, Services: 1, KeepTime: time.Hour})
	victim := dutyHolder(t, d)
	id := beginPlan(t, d, "drain-vm", map[string]string{"vm": d.Nodes[victim].Name()}).GetId()
	eventually(t, "one entry", func() bool { return len(entriesAt(t, d, 0).Entries) == 1 })
	eventually(t, "the wait for callers", func() bool {
		got, err := operatorOf(d).GetPlan(t.Context(), connect.NewRequest(&operatorv1.GetPlanRequest{PlanId: id}))
		return err == nil && strings.Contains(got.Msg.GetPlan().GetSteps()[2].GetDetail(), "callers may hold the address")
	})
	if _, err := operatorOf(d).Abandon(t.Context(), connect.NewRequest(&operatorv1.AbandonRequest{PlanId: id})); err != nil {
		t.Fatal(err)
	}
	for node := range d.Nodes {
		eventually(t, "two entries again", func() bool { return len(entriesAt(t, d, node).Entries) == 2 })
	}
	if workOf(t, d, victim).GetWithdrawn() {
		t.Error("the VM is withdrawn")
	}
}

// TestOrdersThroughTheOperators runs each order to engines as an operator's plan.
func TestOrdersThroughTheOperators(t *testing.T) {
	d := startWith(t, Options{Nodes: 2, Engines: 2, Services: 1, Engine: engine.Options{HonoursFencing: true}})
	for _, order := range []struct{ kind, name, value string }{
		{"load", "model", "adapter"}, {"unload", "model", "adapter"}, {"change-role", "role", "both"},
	} {
		plan := beginPlan(t, d, order.kind, map[string]string{"upstream": engineUpstream, order.name: order.value})
		if end := endOfPlan(t, d, plan.GetId()); len(end.GetSteps()) != d.Engines() {
			t.Errorf("%s has %d steps, want one for each replica", order.kind, len(end.GetSteps()))
		}
	}
}

// runsOf counts the requests that a deployment's engines began.
func runsOf(d *Deployment) int64 {
	var runs int64
	for i := range d.Engines() {
		runs += int64(d.Engine(i).Runs().Report().Totals.Begun)
	}
	return runs
}
