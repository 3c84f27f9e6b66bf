package handover

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform/memstore"
)

// lender lends permission as a registered peer does.
type lender struct{ term time.Duration }

// Vouch implements Vouchers.
func (l lender) Vouch(ctx context.Context, _ string) (Vouch, error) {
	return Vouch{Term: l.term}, ctx.Err()
}

// permitter permits all that is asked in time.
type permitter struct{}

// Permit implements Permits.
func (permitter) Permit(ctx context.Context, _ Ask, _ string) (bool, error) {
	return ctx.Err() == nil, ctx.Err()
}

// TestPlatformThatHangsLeavesTimeForPeers has a platform that takes every call
// and answers none.
func TestPlatformThatHangsLeavesTimeForPeers(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		timing := DefaultTiming()
		store := memstore.New(memstore.Config{})
		home := func(string, string) bool { return true }
		gate := NewGate(home, timing, NewMetrics(prometheus.NewRegistry()), time.Now)
		agent := NewAgent(gate, NewMoveStore(store, uuid.NewString), permitter{}, lender{timing.Term}, "vm-1", timing, time.Now)
		hang := memstore.Fault{Kind: memstore.Slow, Factor: float64(time.Hour.Milliseconds())}
		if err := store.Inject(hang); err != nil {
			t.Fatal(err)
		}
		if err := agent.Round(t.Context()); err == nil {
			t.Fatal("a platform that hangs has answered")
		}
		if got := gate.Check("u", "w").Kind; got != Serve {
			t.Errorf("a node that a peer vouches for: verdict %s, want %s", got, Serve)
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); agent.Run(ctx) }()
		gate.Arm("move", Set{Upstreams: []string{"armed"}}, "driver", 1)
		for range 200 {
			time.Sleep(timing.Resend / 2)
			vouched, armed := gate.Check("u", "w").Kind, gate.Check("armed", "w").Kind
			if vouched != Serve || armed != Serve {
				t.Fatalf("verdicts %s and %s at a node that peers answer, want %s", vouched, armed, Serve)
			}
		}
		stop()
		<-done
	})
}
