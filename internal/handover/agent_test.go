package handover

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

// countingPermits counts the questions for permits and grants them.
type countingPermits struct{ asked int }

func (c *countingPermits) Permit(context.Context, Ask, string) (bool, error) {
	c.asked++
	return true, nil
}

// TestAgentAtRest counts an agent's calls while nothing moves, and has it learn
// of a move and of a driver's call at once.
func TestAgentAtRest(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		kv := memstore.New(memstore.Config{})
		ids := 0
		store := NewMoveStore(kv, func() string { ids++; return fmt.Sprintf("id-%d", ids) })
		home := func(string, string) bool { return true }
		gate := NewGate(home, DefaultTiming(), NewMetrics(prometheus.NewRegistry()), time.Now)
		permits := &countingPermits{}
		agent := NewAgent(gate, store, permits, nil, "vm-0", DefaultTiming(), time.Now)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); agent.Run(ctx) }()

		const rests = 20
		time.Sleep(rests * restTime)
		calls := kv.Calls()[platform.CallList].Calls + kv.Calls()[platform.CallWatch].Calls
		if calls < rests || calls > 2*rests+4 {
			t.Errorf("%d calls in %d rests, want two a rest", calls, rests)
		}

		move := Move{ID: "m", Role: RoleSource, Set: Set{Upstreams: []string{"llm"}}, Phase: PhaseSealed, Epoch: 1, Created: 1}
		if _, err := store.Write(ctx, move); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if verdict := gate.Check("llm", "w"); verdict.Kind == Serve {
			t.Error("the sealed set is served after the platform has told of the seal")
		}

		gate.Arm("n", Set{Upstreams: []string{"chat"}}, "driver", 1)
		time.Sleep(DefaultTiming().Resend)
		synctest.Wait()
		if permits.asked == 0 {
			t.Error("an armed node has not asked for a permit")
		}
		stop()
		<-done
	})
}
