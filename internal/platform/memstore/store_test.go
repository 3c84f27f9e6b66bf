package memstore

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform"
)

// put writes a key and fails the test if it can't.
func put(t *testing.T, s *Store, key string, expect int64, value string) platform.Entry {
	t.Helper()
	entry, err := s.CompareAndSwap(t.Context(), key, expect, []byte(value))
	if err != nil {
		t.Fatalf("write %s: %v", key, err)
	}
	return entry
}

func TestConditionalWrites(t *testing.T) {
	s := New(Config{})
	first := put(t, s, "a", 0, "one")
	second := put(t, s, "a", first.Revision, "two")
	put(t, s, "b", 0, "other")
	for name, expect := range map[string]int64{"absent": 0, "old": first.Revision, "future": 99} {
		_, err := s.CompareAndSwap(t.Context(), "a", expect, []byte("no"))
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) || conflict.Current.Revision != second.Revision || string(conflict.Current.Value) != "two" {
			t.Errorf("%s: got %v, want a conflict with revision %d", name, err, second.Revision)
		}
		if err := s.Delete(t.Context(), "a", expect); !errors.As(err, &conflict) {
			t.Errorf("%s: delete got %v, want a conflict", name, err)
		}
	}
	if err := s.Delete(t.Context(), "a", second.Revision); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Get(t.Context(), "a"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("deleted key: got %v", err)
	}
	again := put(t, s, "a", 0, "three")
	if again.Revision <= second.Revision {
		t.Errorf("revision went from %d to %d", second.Revision, again.Revision)
	}
	entries, revision, err := s.List(t.Context(), "")
	if err != nil || len(entries) != 2 || entries[0].Key != "a" || revision != again.Revision {
		t.Errorf("list: %v at %d, %v", entries, revision, err)
	}
}

func TestValueBound(t *testing.T) {
	s := New(Config{})
	put(t, s, "full", 0, string(make([]byte, platform.MaxValueBytes)))
	_, err := s.CompareAndSwap(t.Context(), "over", 0, make([]byte, platform.MaxValueBytes+1))
	if !errors.Is(err, platform.ErrTooLarge) {
		t.Errorf("got %v", err)
	}
}

func TestValuesAreCopied(t *testing.T) {
	s := New(Config{})
	value := []byte("kept")
	entry, _ := s.CompareAndSwap(t.Context(), "a", 0, value)
	value[0], entry.Value[1] = 'x', 'x'
	got, _ := s.Get(t.Context(), "a")
	got.Value[2] = 'x'
	batch, _ := s.Watch(t.Context(), "", 0, 0)
	if !bytes.Equal(batch.Events[0].Value, []byte("kept")) {
		t.Errorf("a caller changed the store: %s", batch.Events[0].Value)
	}
}

func TestRates(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		s := New(Config{WritesPerSecond: 40, ReadsPerSecond: 80, WeightsPerSecond: 1})
		calls := map[platform.Call]func() error{
			platform.CallRenew:   func() error { _, err := s.Renew(t.Context(), platform.Lease{}); return err },
			platform.CallGet:     func() error { _, err := s.Get(t.Context(), "a"); return err },
			platform.CallReserve: func() error { return s.Reserve(t.Context(), "m", "1") },
		}
		wants := map[platform.Call]int{platform.CallRenew: 10, platform.CallGet: 20, platform.CallReserve: 1}
		for kind, call := range calls {
			taken := 0
			for !errors.Is(call(), platform.ErrRateLimited) {
				taken++
			}
			if taken != wants[kind] {
				t.Errorf("%s: %d calls at once, want %d", kind, taken, wants[kind])
			}
		}
		time.Sleep(time.Second)
		for kind, call := range calls {
			if err := call(); errors.Is(err, platform.ErrRateLimited) {
				t.Errorf("%s: still refused after a second", kind)
			}
			if count := s.Calls()[kind]; count.RateLimited != 1 || count.Calls != int64(wants[kind]+2) {
				t.Errorf("%s: counted %+v", kind, count)
			}
		}
	})
}

func TestInstancesStale(t *testing.T) {
	s := New(Config{})
	s.SetInstances([]platform.Instance{{Name: "old"}})
	if err := s.Inject(Fault{Kind: StaleInstances}); err != nil {
		t.Fatal(err)
	}
	s.SetInstances([]platform.Instance{{Name: "new"}})
	stale, _ := s.Instances(t.Context())
	s.Clear(StaleInstances)
	fresh, _ := s.Instances(t.Context())
	if stale[0].Name != "old" || fresh[0].Name != "new" {
		t.Errorf("stale %v, fresh %v", stale, fresh)
	}
}

func TestCancelledCallIsUnavailable(t *testing.T) {
	s := New(Config{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := s.CompareAndSwap(ctx, "a", 0, nil)
	if !errors.Is(err, platform.ErrUnavailable) || !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}
