package edge

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/nodesync"
)

// TestANodeReadsOnlyWhatNobodyHasReadLately lets other nodes' reads make the copy
// young again for a while.
func TestANodeReadsOnlyWhatNobodyHasReadLately(t *testing.T) {
	for role, least := range readAt {
		synctest.Test(t, func(t *testing.T) {
			r := &reader{role: func() nodesync.Role { return role }}
			began := time.Now()
			told := began
			age := func() time.Duration {
				// Another node tells of a read every 200 ms for ten seconds.
				if now := time.Now(); now.Sub(began) < 10*time.Second && now.Sub(told) >= 200*time.Millisecond {
					told = now
				}
				return time.Since(told)
			}
			if !r.awaitAge(t.Context(), rand.New(rand.NewPCG(1, 1)), age) {
				t.Fatal("the wait ended without a reason")
			}
			if waited := time.Since(began); waited < 10*time.Second || waited > 10*time.Second+least+readJitter {
				t.Errorf("role %d read after %s", role, waited)
			}
		})
	}
}

func TestAWaitForAReadEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{role: func() nodesync.Role { return nodesync.Equal }}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if r.awaitAge(ctx, rand.New(rand.NewPCG(1, 1)), func() time.Duration { return 0 }) {
			t.Error("a copy that stays young is read")
		}
	})
}
