package memstore

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform"
)

// watched is the result of a watch that ran beside the test.
type watched struct {
	batch platform.Batch
	err   error
	took  time.Duration
}

// startWatch runs a watch beside the test.
func startWatch(t *testing.T, s *Store, prefix string, after int64, wait time.Duration) <-chan watched {
	t.Helper()
	done := make(chan watched, 1)
	start := time.Now()
	go func() {
		batch, err := s.Watch(t.Context(), prefix, after, wait)
		done <- watched{batch, err, time.Since(start)}
	}()
	synctest.Wait()
	return done
}

func TestWatchWaitsForItsPrefix(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		s := New(Config{})
		entry := put(t, s, "a/1", 0, "x")
		done := startWatch(t, s, "a/", entry.Revision, time.Minute)
		time.Sleep(time.Second)
		put(t, s, "b/1", 0, "x")
		time.Sleep(time.Second)
		if err := s.Delete(t.Context(), "a/1", entry.Revision); err != nil {
			t.Fatal(err)
		}
		got := <-done
		if got.err != nil || got.took != 2*time.Second || got.batch.Revision != 3 {
			t.Fatalf("got %+v", got)
		}
		if len(got.batch.Events) != 1 || !got.batch.Events[0].Deleted || got.batch.Events[0].Key != "a/1" {
			t.Errorf("events %+v", got.batch.Events)
		}
		if calls := s.Calls()[platform.CallWatch].Calls; calls != 1 || s.Watchers() != 0 {
			t.Errorf("%d calls, %d watchers left", calls, s.Watchers())
		}
	})
}

func TestWatchEndsAfterWait(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		s := New(Config{})
		put(t, s, "b", 0, "x")
		got := <-startWatch(t, s, "a", 1, 3*time.Second)
		if got.err != nil || got.took != 3*time.Second || got.batch.Revision != 1 || got.batch.Gap || got.batch.Events != nil {
			t.Errorf("got %+v", got)
		}
	})
}

func TestWatchGaps(t *testing.T) {
	tests := []struct {
		name    string
		config  Config
		fault   *Fault
		restore bool
		after   int64
		gap     bool
		events  int
	}{
		{name: "all in the log", events: 3},
		{name: "older than the log's events", config: Config{LogEvents: 2}, gap: true},
		{name: "just within the log's events", config: Config{LogEvents: 2}, after: 1, events: 2},
		{name: "older than the log's bytes", config: Config{LogBytes: 2}, gap: true},
		{name: "silently missing", fault: &Fault{Kind: WatchGap}, events: 2},
		{name: "reported", fault: &Fault{Kind: WatchGap, Factor: 1}, gap: true},
		{name: "reported but already seen", fault: &Fault{Kind: WatchGap, Factor: 1}, after: 2, events: 1},
		{name: "restored to an older state", restore: true, after: 3, gap: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(test.config)
			put(t, s, "a", 0, "1")
			older := s.Snapshot()
			if test.fault != nil {
				if err := s.Inject(*test.fault); err != nil {
					t.Fatal(err)
				}
			}
			put(t, s, "b", 0, "2")
			s.ClearAll()
			put(t, s, "c", 0, "3")
			revision := int64(3)
			if test.restore {
				s.Restore(older)
				revision = 1
			}
			batch, err := s.Watch(t.Context(), "", test.after, 0)
			if err != nil || batch.Gap != test.gap || len(batch.Events) != test.events || batch.Revision != revision {
				t.Errorf("got %+v, %v", batch, err)
			}
		})
	}
}

func TestDownCutsWaitingWatch(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		s := New(Config{})
		done := startWatch(t, s, "", 0, time.Hour)
		if err := s.Inject(Fault{Kind: Down, For: time.Second}); err != nil {
			t.Fatal(err)
		}
		if got := <-done; !errors.Is(got.err, platform.ErrUnavailable) || got.took != 0 {
			t.Errorf("got %+v", got)
		}
	})
}
