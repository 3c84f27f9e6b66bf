package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"galenatrestle/internal/intent"
)

// TestWorkOfOtherRegionsIsCounted has a request in flight at a node of another
// region: the plan of a drain counts it, and the drain waits for it.
func TestWorkOfOtherRegionsIsCounted(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), moveWait)
	defer cancel()
	d := newDataCentre(t, "west")
	d.regions = []string{"west", "north"}
	d.start(t, newDataCentre(t, "east"), true)
	await := func(what string, holds func() bool) {
		t.Helper()
		for !holds() {
			if ctx.Err() != nil {
				t.Fatalf("never: %s", what)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	near, far := d.nodes[0], d.nodes[1]
	await("the other region", func() bool { return len(near.members.runner.View().Regions()) == 1 })
	answered := make(chan error, 1)
	asking, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		_, _, err := askFor(asking, far, 1, 4000)
		answered <- err
	}()
	wanted := intent.Intent{Kind: intent.KindDrainReplica, Upstream: moveModel, Replica: "r0"}
	await("the request is counted", func() bool { return near.stats(ctx, wanted).Replicas[moveModel]["r0"] == 1 })
	if stats := near.stats(ctx, wanted); len(stats.VMs) != 1 || len(stats.Silent) != 0 {
		t.Errorf("%d VMs, silent %v", len(stats.VMs), stats.Silent)
	}
	stop()
	if err := <-answered; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	await("the request has ended", func() bool { return near.stats(ctx, wanted).Replicas[moveModel]["r0"] == 0 })
	far.Close()
	await("the silence is told", func() bool { return len(near.stats(ctx, wanted).Silent) == 1 })
}
