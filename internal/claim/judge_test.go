package claim

import (
	"context"
	"testing"

	"github.com/google/uuid"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

// TestJudge reads each answer of the platform, as it is and as its client wraps
// it.
func TestJudge(t *testing.T) {
	b := newRingBench(t, benchPolicy())
	b.begin(keyNumber(1), attemptNumber(1), "")
	mine, err := b.ring.nextWrite(b.now, uuid.New())
	if err != nil {
		t.Fatal(err)
	}
	other := b.entries[mine.key]
	conflict := func(value []byte, revision int64) error {
		return &platform.ConflictError{Key: mine.key, Current: platform.Entry{Key: mine.key, Value: value, Revision: revision}}
	}
	cases := []struct {
		name     string
		err      error
		want     effect
		revision int64
	}{
		{"taken", nil, effectLanded, 7},
		{"own write found", conflict(mine.value, 9), effectLanded, 9},
		{"another's write found", conflict(other.Value, 9), effectSuperseded, 0},
		{"a value that can't be read", conflict([]byte{0xff}, 9), effectSuperseded, 0},
		{"a value that wasn't told", conflict(nil, 9), effectUnread, 0},
		{"no answer", platform.ErrUnavailable, effectOpen, 0},
		{"timeout", context.DeadlineExceeded, effectOpen, 0},
		{"rate limited", platform.ErrRateLimited, effectOpen, 0},
		{"too large", platform.ErrTooLarge, effectSuperseded, 0},
	}
	for _, test := range cases {
		for _, err := range []error{test.err, errs.Wrap(errs.Platform, test.err, "compare_and_swap", "platform")} {
			got, revision := mine.judge(platform.Entry{Revision: 7}, err)
			if got != test.want || revision != test.revision {
				t.Errorf("%s: got %v at %d, want %v at %d", test.name, got, revision, test.want, test.revision)
			}
		}
	}
}

// TestSupersededOnThePlatform lets the platform itself refuse the write of a
// holder that another has superseded, and recognise one whose answer was lost.
func TestSupersededOnThePlatform(t *testing.T) {
	store := memstore.New(memstore.Config{})
	take := func(epoch int64) (*ring, write) {
		entries, _, err := store.List(t.Context(), "claims/")
		if err != nil {
			t.Fatal(err)
		}
		r, err := recoverRing(benchPolicy(), "claims/", "n1", epoch, entries)
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
		outcome, _ := w.judge(store.CompareAndSwap(t.Context(), w.key, w.expect, w.value))
		return outcome
	}
	_, first := take(1)
	if got := send(first); got != effectLanded {
		t.Fatalf("the first holder's write: %v", got)
	}
	if got := send(first); got != effectLanded {
		t.Errorf("the same write again: %v", got)
	}
	_, stale := take(2)
	_, second := take(3)
	if got := send(second); got != effectLanded {
		t.Errorf("the second holder's write: %v", got)
	}
	if got := send(stale); got != effectSuperseded {
		t.Errorf("the superseded holder's write: %v", got)
	}
}
