package memstore

import (
	"errors"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform"
)

// inject turns a fault on.
func inject(t *testing.T, s *Store, fault Fault) {
	t.Helper()
	if err := s.Inject(fault); err != nil {
		t.Fatal(err)
	}
}

func TestDownFailsCallsWithoutEffect(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		s := New(Config{})
		inject(t, s, Fault{Kind: Down, For: time.Minute})
		time.Sleep(time.Minute - 1)
		if _, err := s.CompareAndSwap(t.Context(), "a", 0, nil); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("write: got %v", err)
		}
		if _, err := s.Instances(t.Context()); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("instances: got %v", err)
		}
		time.Sleep(time.Nanosecond)
		if _, err := s.Get(t.Context(), "a"); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("after the outage: got %v", err)
		}
	})
}

func TestSlowDelaysCalls(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		s := New(Config{})
		inject(t, s, Fault{Kind: Slow, Factor: 250})
		start := time.Now()
		put(t, s, "a", 0, "x")
		if took := time.Since(start); took != 250*time.Millisecond {
			t.Errorf("took %v", took)
		}
	})
}

func TestLostAnswersTakeEffect(t *testing.T) {
	tests := []struct {
		name     string
		factor   float64
		min, max int
	}{
		{"all", 0, 40, 40},
		{"a number", 3, 3, 3},
		{"a share", 0.5, 10, 30},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Config{Seed: 7})
			inject(t, s, Fault{Kind: LostAnswer, Factor: test.factor})
			lost := 0
			for range 40 {
				_, before, _ := s.List(t.Context(), "")
				_, err := s.CompareAndSwap(t.Context(), "a", before, []byte("x"))
				if errors.Is(err, platform.ErrUnavailable) {
					lost++
				}
			}
			if lost < test.min || lost > test.max {
				t.Errorf("%d answers lost", lost)
			}
			if _, revision, _ := s.List(t.Context(), ""); revision != 40 {
				t.Errorf("%d of 40 writes took effect", revision)
			}
		})
	}
}

func TestFaultSwitches(t *testing.T) {
	s := New(Config{})
	for _, kind := range []FaultKind{Down, Slow, LostAnswer, WatchGap, StaleInstances} {
		inject(t, s, Fault{Kind: kind})
	}
	if on := s.Faults(); len(on) != 5 {
		t.Errorf("on: %v", on)
	}
	s.ClearAll()
	if on := s.Faults(); len(on) != 0 {
		t.Errorf("still on: %v", on)
	}
	if err := s.Inject(Fault{Kind: "unheard-of"}); !errors.Is(err, ErrUnknownFault) {
		t.Errorf("got %v", err)
	}
	for field, fault := range map[string]Fault{"factor": {Kind: Slow, Factor: -1}, "for": {Kind: Down, For: -1}} {
		if err := s.Inject(fault); !errors.Is(err, ErrNegative) || !strings.Contains(err.Error(), "field "+field+":") {
			t.Errorf("%s: got %v", field, err)
		}
	}
}

func TestLeaseLapseFault(t *testing.T) {
	s := New(Config{})
	acquire(t, s, "a")
	inject(t, s, Fault{Kind: LeaseLapse, Name: "other"})
	if _, held := s.Lease("duty"); !held {
		t.Error("ended a lease of another name")
	}
	inject(t, s, Fault{Kind: LeaseLapse})
	if _, held := s.Lease("duty"); held {
		t.Error("still held")
	}
}
