package orderplan

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/intent"
	"galenatrestle/internal/order"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
	"galenatrestle/internal/standin/engine"
)

func newTestActor(t *testing.T, weightsPerSecond float64) (*Actor, *order.Sender) {
	t.Helper()
	server := httptest.NewServer(engine.New(engine.Options{Name: "r0", Model: "m", HonoursFencing: true}))
	t.Cleanup(server.Close)
	weights := memstore.New(memstore.Config{WeightsPerSecond: weightsPerSecond})
	sender, err := order.NewSender(order.NewHTTPTransport(), weights, order.DefaultLeaseTiming(time.Hour), order.NewMetrics(prometheus.NewRegistry()), time.Now)
	if err != nil {
		t.Fatal(err)
	}
	document := &config.Document{Upstreams: []config.Upstream{{
		Name: "u", Kind: config.KindEngine, HonoursFencing: true,
		Replicas: []config.Replica{{Name: "r0", Address: server.Listener.Addr().String()}},
	}}}
	index := config.NewIndex(1, document)
	return NewActor(sender, func() *config.Index { return index }), sender
}

func task(kind intent.StepKind, replica string, in intent.Intent) intent.Task {
	in.Upstream = "u"
	return intent.Task{Plan: &intent.Plan{Intent: in}, Step: intent.Step{Kind: kind, Target: replica}}
}

func TestOrdersRequireLease(t *testing.T) {
	actor, sender := newTestActor(t, 1000)
	load := task(intent.StepOrderLoad, "r0", intent.Intent{Model: "adapter", Version: "2"})
	progress, err := actor.Do(t.Context(), load)
	if err != nil || progress.Done || progress.Wait != string(order.ReasonNoLease) {
		t.Fatalf("without the lease: %+v, %v", progress, err)
	}
	sender.Renewed(platform.Lease{Epoch: 7}, time.Now())
	for _, next := range []intent.Task{
		load, load,
		task(intent.StepOrderRole, "r0", intent.Intent{Role: "decode"}),
		task(intent.StepOrderUnload, "r0", intent.Intent{Model: "adapter"}),
	} {
		if progress, err := actor.Do(t.Context(), next); err != nil || !progress.Done {
			t.Errorf("%s: %+v, %v", next.Step.Kind, progress, err)
		}
	}
}

func TestUnconfiguredReplicaFailsPlan(t *testing.T) {
	actor, _ := newTestActor(t, 1000)
	_, err := actor.Do(t.Context(), task(intent.StepOrderLoad, "r9", intent.Intent{Model: "m"}))
	var fatal *intent.FatalError
	if !errors.As(err, &fatal) {
		t.Errorf("got %v, want a FatalError", err)
	}
}
