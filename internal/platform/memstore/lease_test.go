package memstore

import (
	"errors"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform"
)

const ttl = 10 * time.Second

// acquire takes the duty and fails the test if it can't.
func acquire(t *testing.T, s *Store, holder string) platform.Lease {
	t.Helper()
	lease, err := s.Acquire(t.Context(), "duty", holder, ttl)
	if err != nil {
		t.Fatalf("%s: %v", holder, err)
	}
	return lease
}

func TestEpochGrowsAtEachGrant(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		s := New(Config{})
		steps := []struct {
			name   string
			before func(platform.Lease)
			holder string
		}{
			{"first", func(platform.Lease) {}, "a"},
			{"same holder again", func(platform.Lease) {}, "a"},
			{"after lapse", func(platform.Lease) { time.Sleep(ttl) }, "b"},
			{"after release", func(l platform.Lease) { _ = s.Release(t.Context(), l) }, "a"},
			{"after an early end", func(platform.Lease) { s.LapseLease("duty") }, "b"},
		}
		var last platform.Lease
		for _, step := range steps {
			step.before(last)
			lease := acquire(t, s, step.holder)
			if lease.Epoch != last.Epoch+1 {
				t.Errorf("%s: epoch %d after %d", step.name, lease.Epoch, last.Epoch)
			}
			last = lease
		}
	})
}

func TestHeldLeaseRefusesOthers(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		s := New(Config{})
		lease := acquire(t, s, "a")
		time.Sleep(ttl / 2)
		renewed, err := s.Renew(t.Context(), lease)
		if err != nil || renewed != lease {
			t.Fatalf("renew: %+v, %v", renewed, err)
		}
		time.Sleep(ttl - 1)
		_, err = s.Acquire(t.Context(), "duty", "b", ttl)
		var held *platform.HeldError
		if !errors.As(err, &held) || held.Current.Holder != "a" {
			t.Errorf("got %v, want held by a", err)
		}
		time.Sleep(time.Nanosecond)
		acquire(t, s, "b")
	})
}

func TestLostLeaseIsNotRenewed(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		s := New(Config{})
		old := acquire(t, s, "a")
		time.Sleep(ttl)
		if _, err := s.Renew(t.Context(), old); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("lapsed: got %v", err)
		}
		acquire(t, s, "b")
		var held *platform.HeldError
		if _, err := s.Renew(t.Context(), old); !errors.As(err, &held) {
			t.Errorf("taken over: got %v", err)
		}
		if err := s.Release(t.Context(), old); err != nil {
			t.Errorf("release of a lost lease: %v", err)
		}
		if lease, ok := s.Lease("duty"); !ok || lease.Holder != "b" {
			t.Errorf("the old holder's release ended %+v", lease)
		}
		if _, err := s.Acquire(t.Context(), "duty", "a", 0); !errors.Is(err, ErrBadTTL) {
			t.Errorf("zero TTL: got %v", err)
		}
	})
}
