package handover

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
)

// TestAbandonBeforeTheSealIsFree abandons a move whose nodes are armed, under
// load: no request is refused, and the next move of the set goes through.
func TestAbandonBeforeTheSealIsFree(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimWorld(ctx, 1)
		w.callersAt = 1
		result := &simResult{}
		loadCtx, stopLoad := context.WithCancel(ctx)
		var load sync.WaitGroup
		load.Go(func() { w.load(loadCtx, rand.New(rand.NewPCG(1, 78)), result) })
		time.Sleep(time.Second)
		west := NewMoveStore(w.sides[0].kv, w.newID)
		if _, err := west.Begin(ctx, "first", Set{Upstreams: []string{simUpstream}}, "east", time.Now()); err != nil {
			t.Fatal(err)
		}
		// Longer than a term: the nodes go on by permits.
		time.Sleep(3 * w.timing.Term)
		if m, err := west.Move(ctx, "first"); err != nil || m.Phase != PhaseArming {
			t.Fatalf("%+v, %v", m, err)
		}
		if _, err := west.Abandon(ctx, "first", "changed my mind", time.Now()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * w.timing.Term)
		for _, side := range w.sides {
			m, err := NewMoveStore(side.kv, w.newID).Move(ctx, "first")
			if err != nil || m.Phase != PhaseAbandoned {
				t.Errorf("%s: %s, %v", side.name, m.Phase, err)
			}
		}
		if !w.move("second", "west", "east") {
			t.Errorf("the next move is not done: %s", w.state("second"))
		}
		var phase *PhaseError
		if _, err := west.Abandon(ctx, "second", "too late", time.Now()); !errors.As(err, &phase) {
			t.Errorf("abandoned after the seal: %v", err)
		}
		stopLoad()
		load.Wait()
		for _, a := range result.answers {
			if a.outcome != "answered" && a.outcome != "open" {
				t.Errorf("%s: %s %s", a.id, a.outcome, a.text)
			}
		}
		cancel()
		w.work.Wait()
	})
}

// TestPlatformDownWhileArmed takes the source's platform down for long while
// its nodes are armed: the driver's permits keep them serving.
func TestPlatformDownWhileArmed(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimWorld(ctx, 1)
		time.Sleep(time.Second)
		side := w.sides[0]
		west := NewMoveStore(side.kv, w.newID)
		if _, err := west.Begin(ctx, "m", Set{Upstreams: []string{simUpstream}}, "east", time.Now()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * w.timing.Term)
		takeDown(t, side, time.Minute)
		for range 50 {
			time.Sleep(time.Second)
			for _, n := range side.nodes {
				if v := n.parts().gate.Check(simUpstream, "ws"); v.Kind != Serve {
					t.Fatalf("%s: %s during the outage", n.name, v.Kind)
				}
			}
		}
		cancel()
		w.work.Wait()
	})
}
