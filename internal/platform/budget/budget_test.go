package budget

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

// newStore returns a memory store and it within a budget.
func newStore(t *testing.T, config Config) (*memstore.Store, *Store, *Counters) {
	t.Helper()
	counters, err := NewCounters(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	inner := memstore.New(memstore.Config{})
	return inner, New(inner, config, counters), counters
}

// get reads a key that is not there and tells whether the call was sent.
func get(ctx context.Context, store *Store) bool {
	_, err := store.Get(ctx, "a")
	return errors.Is(err, platform.ErrNotFound)
}

func TestCallsWaitForTheirTurn(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		inner, store, counters := newStore(t, Config{Duty: "d", PerSecond: 10, Burst: 2, MaxWait: time.Second})
		start := time.Now()
		for range 5 {
			if !get(t.Context(), store) {
				t.Error("a call within MaxWait was refused")
			}
		}
		if took := time.Since(start); took != 300*time.Millisecond {
			t.Errorf("five calls took %v", took)
		}
		short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if get(short, store) {
			t.Error("a call was sent whose turn came after its deadline")
		}
		if sent := inner.Calls()[platform.CallGet].Calls; sent != 5 {
			t.Errorf("%d calls sent", sent)
		}
		for result, want := range map[string]float64{resultNotFound: 5, resultOverBudget: 1} {
			if got := testutil.ToFloat64(counters.calls.WithLabelValues("d", "get", result)); got != want {
				t.Errorf("%s: counted %v, want %v", result, got, want)
			}
		}
	})
}

func TestDutiesDoNotTakeEachOthersCalls(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		inner, greedy, counters := newStore(t, Config{Duty: "greedy", PerSecond: 10, Burst: 1})
		modest := New(inner, Config{Duty: "modest", PerSecond: 10, Burst: 1}, counters)
		if !get(t.Context(), greedy) || get(t.Context(), greedy) {
			t.Error("the budget of one call with no wait was not kept")
		}
		if !get(t.Context(), modest) {
			t.Error("one duty's call was refused for another's")
		}
	})
}

func TestResults(t *testing.T) {
	tests := map[string]error{
		resultOK: nil, resultNotFound: platform.ErrNotFound, resultTooLarge: platform.ErrTooLarge,
		resultRateLimited: platform.ErrRateLimited, resultUnavailable: platform.ErrUnavailable,
		resultConflict: &platform.ConflictError{}, resultHeld: &platform.HeldError{}, resultOther: context.Canceled,
	}
	for want, err := range tests {
		if got := resultOf(err); got != want {
			t.Errorf("%v: got %s, want %s", err, got, want)
		}
	}
}

func TestBackoff(t *testing.T) {
	const first, max = 100 * time.Millisecond, 800 * time.Millisecond
	backoff := NewBackoff(first, max, rand.New(rand.NewPCG(1, 2)))
	seen := map[time.Duration]bool{}
	for _, bound := range []time.Duration{first, 2 * first, 4 * first, max, max, max} {
		pause := backoff.Next()
		if pause < bound/2 || pause > bound {
			t.Errorf("pause %v is outside half of %v", pause, bound)
		}
		seen[pause] = true
	}
	if len(seen) != 6 {
		t.Errorf("pauses repeat: %v", seen)
	}
	backoff.Reset()
	if pause := backoff.Next(); pause > first {
		t.Errorf("pause %v after Reset", pause)
	}
}
