package answer

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestFind(t *testing.T) {
	s := NewStore(Options{})
	r := open(t, s, "n.1")
	later := start.Add(time.Hour)
	if found, err := s.Find(later, "n.1", "w"); err != nil || found != r {
		t.Fatalf("running answer: %v", err)
	}
	r.Cancel(start)
	if _, err := s.Find(start.Add(time.Minute-1), "n.1", "w"); err != nil {
		t.Fatalf("within retention: %v", err)
	}
	for _, test := range []struct {
		at            time.Time
		id, workspace string
	}{
		{start.Add(time.Minute), "n.1", "w"},
		{start, "n.1", "other"},
		{start, "n.2", "w"},
	} {
		if _, err := s.Find(test.at, test.id, test.workspace); !errors.Is(err, ErrUnknown) {
			t.Fatalf("%+v: %v", test, err)
		}
	}
	s.Evict(start.Add(time.Minute))
	if s.Used() != 0 {
		t.Fatalf("%d bytes left", s.Used())
	}
}

func TestEvictsOldestFinishedOnly(t *testing.T) {
	const size = 10_000
	s := NewStore(Options{MaxBytes: 5 * size})
	fill := func(id string) *Record {
		r := open(t, s, id)
		mustAppend(t, r, 1, 1, strings.Repeat("x", size))
		return r
	}
	running := fill("n.running")
	read := fill("n.read")
	reader, _ := read.Reader(0)
	read.Cancel(start)
	fill("n.newer").Cancel(start.Add(2 * time.Second))
	older := fill("n.older")
	older.Cancel(start.Add(time.Second))
	fill("n.last")
	if _, err := s.Find(start, "n.older", "w"); !errors.Is(err, ErrUnknown) {
		t.Fatalf("the oldest is still there: %v", err)
	}
	if _, err := older.Reader(0); !errors.Is(err, ErrUnknown) {
		t.Fatalf("an evicted answer can be read: %v", err)
	}
	for _, id := range []string{"n.running", "n.read", "n.newer", "n.last"} {
		if _, err := s.Find(start, id, "w"); err != nil {
			t.Fatalf("%s: %v", id, err)
		}
	}
	if running.Status().State != Running {
		t.Fatal("a running answer was ended")
	}
	fill("n.more")
	if _, err := s.Open(start, Meta{ID: "n.full"}); err != nil {
		t.Fatal(err)
	}
	fill("n.overfull")
	if _, err := s.Open(start, Meta{ID: "n.refused"}); !errors.Is(err, ErrFull) {
		t.Fatalf("error %v, want %v", err, ErrFull)
	}
	reader.Close()
	if _, err := s.Open(start, Meta{ID: "n.after"}); err != nil {
		t.Fatalf("nobody reads any more: %v", err)
	}
}

func TestHeldEventsAreAccounted(t *testing.T) {
	s := NewStore(Options{})
	r := open(t, s, "n.1")
	before := s.Used()
	for i := range int64(maxHeld) {
		mustAppend(t, r, 1, i+2, "x")
	}
	if err := r.Append(start, 1, maxHeld+2, []byte("x")); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("too many held: %v", err)
	}
	r.Release(1)
	if s.Used() != before {
		t.Fatalf("%d bytes used, %d before", s.Used(), before)
	}
}

func TestConcurrentUse(t *testing.T) {
	s := NewStore(Options{MaxBytes: 1 << 20})
	var all sync.WaitGroup
	for w := range 8 {
		all.Go(func() {
			for i := range 200 {
				id := fmt.Sprintf("n.%d-%d", w, i)
				r, err := s.Open(start, Meta{ID: id, Workspace: "w", Retention: time.Minute})
				if err != nil {
					t.Errorf("open: %v", err)
					return
				}
				reader, _ := r.Reader(0)
				var reading sync.WaitGroup
				reading.Go(func() {
					defer reader.Close()
					for n := 0; ; {
						events, status, err := reader.Next(t.Context())
						n += len(events)
						if err != nil || status.State != Running {
							if n != 2 {
								t.Errorf("%d events, %v", n, err)
							}
							return
						}
					}
				})
				_ = r.Append(start, 1, 2, make([]byte, 1000))
				_ = r.Append(start, 1, 1, make([]byte, 1000))
				_ = r.Finish(start, 1, 2)
				reading.Wait()
			}
		})
	}
	all.Wait()
	s.Evict(start.Add(time.Minute))
	if s.Used() != 0 {
		t.Fatalf("%d bytes left", s.Used())
	}
}

func TestRequestID(t *testing.T) {
	id := NewRequestID("vm-1.example")
	if node, err := NodeOf(id); err != nil || node != "vm-1.example" {
		t.Fatalf("%s: %q, %v", id, node, err)
	}
	for _, bad := range []string{"", "n", "n.", "n.short", strings.Repeat("n", 300) + id} {
		if _, err := NodeOf(bad); !errors.Is(err, ErrBadID) {
			t.Fatalf("%q taken: %v", bad, err)
		}
	}
}
