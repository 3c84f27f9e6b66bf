package resolve

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

// holds tells whether the value lists the id "mine".
func holds(entry platform.Entry) (bool, error) {
	return strings.Contains(string(entry.Value), "mine"), nil
}

// put writes, and fails the test if it can't.
func put(t *testing.T, s *memstore.Store, key string, expect int64, value string) int64 {
	t.Helper()
	entry, err := s.CompareAndSwap(t.Context(), key, expect, []byte(value))
	if err != nil {
		t.Fatal(err)
	}
	return entry.Revision
}

// hooked runs a step before the read that follows a lost answer.
type hooked struct {
	*memstore.Store
	beforeGet func()
}

// Get runs the hook and reads.
func (h *hooked) Get(ctx context.Context, key string) (platform.Entry, error) {
	h.beforeGet()
	return h.Store.Get(ctx, key)
}

func TestOutcomes(t *testing.T) {
	lost := memstore.Fault{Kind: memstore.LostAnswer, Factor: 1}
	down := memstore.Fault{Kind: memstore.Down, For: 10 * time.Second}
	tests := []struct {
		name    string
		fault   *memstore.Fault
		history func(platform.Entry) (bool, error)
		// rival, where set, is what another writer puts before the read.
		rival string
		// stale makes the write expect a revision that is gone.
		stale bool
		want  Outcome
		value string
	}{
		{name: "answered", want: Applied, value: "mine"},
		{name: "refused", stale: true, want: NotApplied, value: "theirs"},
		{name: "answer lost", fault: &lost, want: Applied, value: "mine"},
		{name: "lost answer of a refusal", fault: &lost, stale: true, history: holds, want: NotApplied, value: "theirs"},
		{name: "not sent in an outage", fault: &down, want: Applied, value: "mine"},
		{name: "replaced, id kept", fault: &lost, rival: "theirs after mine", want: Applied, value: "theirs after mine"},
		{name: "replaced, no history", fault: &lost, rival: "theirs", want: Unknown, value: "theirs"},
		{name: "replaced, history elsewhere", fault: &lost, rival: "theirs", want: Applied, value: "theirs",
			history: func(platform.Entry) (bool, error) { return true, nil }},
		{name: "unreadable history", fault: &lost, rival: "theirs", want: Unknown, value: "theirs",
			history: func(platform.Entry) (bool, error) { return false, errors.New("torn") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				mem := memstore.New(memstore.Config{})
				expect := put(t, mem, "k", 0, "old")
				if test.stale {
					put(t, mem, "k", expect, "theirs")
				}
				if test.fault != nil {
					if err := mem.Inject(*test.fault); err != nil {
						t.Fatal(err)
					}
				}
				store := &hooked{Store: mem, beforeGet: func() {
					if test.rival != "" {
						put(t, mem, "k", expect+1, test.rival)
						test.rival = ""
					}
				}}
				write := Write{Key: "k", Expect: expect, Value: []byte("mine"), Contains: holds, History: test.history}
				result := CompareAndSwap(t.Context(), store, write, DefaultPauses)
				if result.Outcome != test.want || string(result.Entry.Value) != test.value {
					t.Errorf("got %v with %q, %v", result.Outcome, result.Entry.Value, result.Err)
				}
				if (result.Err == nil) != (test.want == Applied) {
					t.Errorf("%v with error %v", result.Outcome, result.Err)
				}
				current, err := mem.Get(t.Context(), "k")
				if err != nil || string(current.Value) != test.value {
					t.Errorf("store has %q, %v", current.Value, err)
				}
			})
		})
	}
}

func TestOutageLongerThanContextIsUnknown(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		mem := memstore.New(memstore.Config{})
		if err := mem.Inject(memstore.Fault{Kind: memstore.Down}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		start := time.Now()
		result := CompareAndSwap(ctx, mem, Write{Key: "k", Value: []byte("mine"), Contains: holds}, DefaultPauses)
		if result.Outcome != Unknown || !errors.Is(result.Err, platform.ErrUnavailable) {
			t.Errorf("got %+v", result)
		}
		if took := time.Since(start); took != 20*time.Second {
			t.Errorf("took %v", took)
		}
		if reads := mem.Calls()[platform.CallGet].Calls; reads > 30 {
			t.Errorf("%d reads in 20 s", reads)
		}
	})
}
