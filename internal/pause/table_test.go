package pause

import (
	"testing"
	"time"

	"galenatrestle/internal/replica"
)

func TestPauseEndsAtTheLatestTimeAskedFor(t *testing.T) {
	var table Table
	now := time.Now()
	r := &replica.Replica{ID: "a", StartedAt: 1}
	table.Begin(now, r.Process(), 3*time.Second)
	table.Begin(now.Add(time.Second), r.Process(), time.Second)
	if end := table.Current().End(r); !end.Equal(now.Add(3 * time.Second)) {
		t.Errorf("pause ends after %s, want 3s", end.Sub(now))
	}
	table.Begin(now.Add(time.Second), r.Process(), 4*time.Second)
	if end := table.Current().End(r); !end.Equal(now.Add(5 * time.Second)) {
		t.Errorf("pause ends after %s, want 5s", end.Sub(now))
	}
	restarted := &replica.Replica{ID: "a", StartedAt: 2}
	if end := table.Current().End(restarted); !end.IsZero() {
		t.Errorf("the restarted process is paused until %s, want no pause", end)
	}
}

func TestEndedPausesAreDropped(t *testing.T) {
	var table Table
	now := time.Now()
	for i := range int64(100) {
		table.Begin(now.Add(time.Duration(i)*time.Second), replica.Process{ID: "a", StartedAt: i}, time.Second)
	}
	if got := len(table.Current()); got != 1 {
		t.Errorf("%d pauses kept, want 1", got)
	}
	if got := table.Count(now.Add(time.Hour)); got != 0 {
		t.Errorf("%d pauses counted after their end", got)
	}
}

func TestPauseIsBounded(t *testing.T) {
	var table Table
	now := time.Now()
	r := &replica.Replica{ID: "a"}
	table.Begin(now, r.Process(), 1e6*time.Second)
	if end := table.Current().End(r); !end.Equal(now.Add(MaxLength)) {
		t.Errorf("pause ends after %s, want %s", end.Sub(now), MaxLength)
	}
}
