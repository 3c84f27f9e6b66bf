package answer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/refusal"
)

var start = time.Unix(1_800_000_000, 0)

func open(t *testing.T, s *Store, id string) *Record {
	t.Helper()
	r, err := s.Open(start, Meta{ID: id, Workspace: "w", Streamed: true, Retention: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// contents returns all events there are, checked to be numbered from 1.
func contents(t interface{ Fatalf(string, ...any) }, r *Record) (all string, status Status) {
	reader, err := r.Reader(0)
	if err != nil {
		t.Fatalf("reader: %v", err)
	}
	defer reader.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for id := int64(0); ; {
		events, status, err := reader.Next(ctx)
		if len(events) == 0 {
			if err == nil && status.State == Running {
				t.Fatalf("no events and no end")
			}
			return all, status
		}
		for _, e := range events {
			id++
			if e.ID != id {
				t.Fatalf("event id %d, want %d", e.ID, id)
			}
			all += string(e.Data)
		}
	}
}

func TestAppend(t *testing.T) {
	type step struct {
		attempt  int
		sequence int64
		data     string
		want     error
	}
	tests := []struct {
		name  string
		steps []step
		want  string
	}{
		{"in order", []step{{1, 1, "a", nil}, {1, 2, "b", nil}}, "ab"},
		{"out of order", []step{{1, 3, "c", nil}, {1, 1, "a", nil}, {1, 2, "b", nil}}, "abc"},
		{"gap", []step{{1, 1, "a", nil}, {1, 3, "c", nil}}, "a"},
		{"doubled", []step{{1, 1, "a", nil}, {1, 1, "a", ErrStale}, {1, 3, "c", nil}, {1, 3, "c", ErrStale}}, "a"},
		{"loser of a hedge", []step{{2, 1, "a", nil}, {1, 1, "x", ErrStale}, {2, 2, "b", nil}}, "ab"},
		{"too large", []step{{1, 1, strings.Repeat("x", 10000), ErrTooLarge}, {1, 1, "a", nil}}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := open(t, NewStore(Options{MaxAnswerBytes: 10000}), "n.1")
			for _, s := range test.steps {
				if err := r.Append(start, s.attempt, s.sequence, []byte(s.data)); !errors.Is(err, s.want) {
					t.Fatalf("append %+v: %v", s, err)
				}
			}
			if got, _ := contents(t, r); got != test.want {
				t.Fatalf("answer %q, want %q", got, test.want)
			}
		})
	}
}

func TestContinuedAttempt(t *testing.T) {
	r := open(t, NewStore(Options{}), "n.1")
	mustAppend(t, r, 1, 1, "a")
	mustAppend(t, r, 1, 3, "lost with its attempt")
	r.Release(1)
	if err := r.Append(start, 1, 2, []byte("late")); !errors.Is(err, ErrStale) {
		t.Fatalf("late event: %v", err)
	}
	mustAppend(t, r, 2, 1, "b")
	if err := r.Finish(start, 2, 2); err != nil {
		t.Fatal(err)
	}
	if s := r.Status(); s.State != Running {
		t.Fatalf("state %s with an event missing", s.State)
	}
	mustAppend(t, r, 2, 2, "c")
	if err := r.Append(start, 2, 3, nil); !errors.Is(err, ErrEnded) {
		t.Fatalf("event after the end: %v", err)
	}
	got, status := contents(t, r)
	if got != "abc" || status.State != Done || status.Attempts != 2 {
		t.Fatalf("answer %q, status %+v", got, status)
	}
}

func mustAppend(t *testing.T, r *Record, attempt int, sequence int64, data string) {
	t.Helper()
	if err := r.Append(start, attempt, sequence, []byte(data)); err != nil {
		t.Fatal(err)
	}
}

func TestEnds(t *testing.T) {
	refused := refusal.New(refusal.UpstreamFailed, "test", "")
	tests := []struct {
		name string
		end  func(*Record) error
		want State
	}{
		{"empty", func(r *Record) error { return r.Finish(start, 1, 0) }, Done},
		{"failed", func(r *Record) error { r.Fail(start, refused); return nil }, Failed},
		{"cancelled", func(r *Record) error { r.Cancel(start); return nil }, Cancelled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := open(t, NewStore(Options{}), "n.1")
			if err := test.end(r); err != nil {
				t.Fatal(err)
			}
			r.Fail(start, nil)
			r.Cancel(start)
			if err := r.Finish(start, 1, 0); !errors.Is(err, ErrEnded) {
				t.Fatalf("second end: %v", err)
			}
			if s := r.Status(); s.State != test.want || (s.Refusal != nil) != (test.want == Failed) {
				t.Fatalf("status %+v, want %s", s, test.want)
			}
		})
	}
	r := open(t, NewStore(Options{}), "n.1")
	mustAppend(t, r, 1, 1, "a")
	if err := r.Finish(start, 1, 0); !errors.Is(err, ErrStale) || r.Status().State != Running {
		t.Fatalf("end before what was delivered: %v", err)
	}
}

// TestAnswerIsWhole delivers attempts' chunks in any order, doubled and mixed
// with those of others, and checks that nothing is lost, doubled or foreign.
func TestAnswerIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		const chunks = 20
		kept := rapid.IntRange(0, chunks-1).Draw(t, "kept")
		s := NewStore(Options{})
		r, err := s.Open(start, Meta{ID: "n.1", Retention: time.Minute})
		if err != nil {
			t.Fatal(err)
		}
		deliver := func(attempt, from, to int) {
			var sequences []int64
			for i := from; i < to; i++ {
				sequences = append(sequences, int64(i-from+1), int64(i-from+1))
			}
			random.Shuffle(len(sequences), func(i, j int) { sequences[i], sequences[j] = sequences[j], sequences[i] })
			for _, n := range sequences {
				_ = r.Append(start, attempt, n, fmt.Appendf(nil, "%d ", from+int(n)-1))
				_ = r.Append(start, 99, n, []byte("loser "))
			}
		}
		want := ""
		for i := range chunks {
			want += fmt.Sprintf("%d ", i)
		}
		deliver(1, 0, kept)
		r.Release(1)
		r.Release(99)
		deliver(1, 0, kept)
		deliver(2, kept, chunks)
		if err := r.Finish(start, 2, int64(chunks-kept)); err != nil {
			t.Fatal(err)
		}
		if got, status := contents(t, r); got != want || status.State != Done {
			t.Fatalf("answer %q %s, want %q", got, status.State, want)
		}
	})
}

func TestReaderWaits(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		r := open(t, NewStore(Options{}), "n.1")
		var got []int64
		ended := make(chan State)
		go func() {
			reader, _ := r.Reader(0)
			defer reader.Close()
			for {
				events, status, err := reader.Next(t.Context())
				if err != nil || status.State != Running {
					ended <- status.State
					return
				}
				for _, e := range events {
					got = append(got, e.ID)
				}
			}
		}()
		synctest.Wait()
		mustAppend(t, r, 1, 1, "a")
		synctest.Wait()
		if !slices.Equal(got, []int64{1}) {
			t.Fatalf("got %v before the end, want the first event", got)
		}
		mustAppend(t, r, 1, 2, "b")
		r.Cancel(start)
		if state := <-ended; state != Cancelled || len(got) != 2 {
			t.Fatalf("got %v, %s", got, state)
		}
		reader, _ := open(t, NewStore(Options{}), "n.2").Reader(0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, _, err := reader.Next(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("error %v, want the deadline's", err)
		}
	})
}

func TestReaderPosition(t *testing.T) {
	r := open(t, NewStore(Options{}), "n.1")
	mustAppend(t, r, 1, 1, "a")
	mustAppend(t, r, 1, 2, "b")
	for _, after := range []int64{-1, 3} {
		if _, err := r.Reader(after); !errors.Is(err, ErrBadPosition) {
			t.Fatalf("after %d: %v", after, err)
		}
	}
	reader, err := r.Reader(1)
	if err != nil {
		t.Fatal(err)
	}
	events, _, _ := reader.Next(t.Context())
	if len(events) != 1 || string(events[0].Data) != "b" {
		t.Fatalf("events %v", events)
	}
}
