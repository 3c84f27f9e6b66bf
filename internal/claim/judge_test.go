package claim

import (
	"context"
	"testing"

	"github.com/google/uuid"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

// Each platform response is classified both plain and wrapped by the platform client.
func TestClassifyWrite(t *testing.T) {
	harness := newRingHarness(t, smallPolicy())
	harness.begin(keyNumber(1), attemptNumber(1), "")
	own, err := harness.ring.nextWrite(harness.now, uuid.New())
	if err != nil {
		t.Fatal(err)
	}
	other := harness.entries[own.key]
	conflict := func(value []byte, revision int64) error {
		return &platform.ConflictError{Key: own.key, Current: platform.Entry{Key: own.key, Value: value, Revision: revision}}
	}
	cases := []struct {
		name     string
		err      error
		want     effect
		revision int64
	}{
		{"applied", nil, effectApplied, 7},
		{"own write found", conflict(own.value, 9), effectApplied, 9},
		{"another's write found", conflict(other.Value, 9), effectSuperseded, 0},
		{"an unreadable value", conflict([]byte{0xff}, 9), effectSuperseded, 0},
		{"a conflict without its value", conflict(nil, 9), effectNeedsRead, 0},
		{"no response", platform.ErrUnavailable, effectUnresolved, 0},
		{"timeout", context.DeadlineExceeded, effectUnresolved, 0},
		{"rate limited", platform.ErrRateLimited, effectUnresolved, 0},
		{"too large", platform.ErrTooLarge, effectSuperseded, 0},
	}
	for _, test := range cases {
		for _, err := range []error{test.err, errs.Wrap(errs.Platform, test.err, "compare_and_swap", "platform")} {
			got, revision := own.classify(platform.Entry{Revision: 7}, err)
			if got != test.want || revision != test.revision {
				t.Errorf("%s: got %v at %d, want %v at %d", test.name, got, revision, test.want, test.revision)
			}
		}
	}
}

// The platform must reject the write of a superseded holder and accept a resend of a
// write that took effect.
func TestPlatformRejectsSupersededWrite(t *testing.T) {
	store := memstore.New(memstore.Config{})
	takeOver := func(epoch int64) (*ring, write) {
		entries, _, err := store.List(t.Context(), "claims/")
		if err != nil {
			t.Fatal(err)
		}
		r, err := recoverRing(smallPolicy(), "claims/", "n1", epoch, entries)
		if err != nil {
			t.Fatal(err)
		}
		next, err := r.nextWrite(modelNow, uuid.New())
		if err != nil {
			t.Fatal(err)
		}
		return r, next
	}
	send := func(w write) effect {
		result, _ := w.classify(store.CompareAndSwap(t.Context(), w.key, w.expectedRevision, w.value))
		return result
	}
	_, first := takeOver(1)
	if got := send(first); got != effectApplied {
		t.Fatalf("the first holder's write: %v", got)
	}
	if got := send(first); got != effectApplied {
		t.Errorf("the same write again: %v", got)
	}
	_, stale := takeOver(2)
	_, second := takeOver(3)
	if got := send(second); got != effectApplied {
		t.Errorf("the second holder's write: %v", got)
	}
	if got := send(stale); got != effectSuperseded {
		t.Errorf("the superseded holder's write: %v", got)
	}
}
