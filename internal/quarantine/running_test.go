package quarantine

import (
	"testing"
	"time"
)

func TestSuspectsRunApart(t *testing.T) {
	running := NewActiveRuns()
	first, ok := running.Start(start, "r1", 1, RunAlone)
	if !ok {
		t.Fatal("a suspect cannot run")
	}
	if _, ok := running.Start(start, "r1", 2, RunAlone); ok {
		t.Fatal("two suspects on one replica")
	}
	if _, ok := running.Start(start, "r2", 1, RunAlone); ok {
		t.Fatal("one suspect on two replicas")
	}
	if _, ok := running.Start(start, "r1", 3, Normal); !ok {
		t.Fatal("a normal request cannot run")
	}
	running.Finish(first)
	running.Finish(first)
	if _, ok := running.Start(start, "r1", 2, RunAlone); !ok {
		t.Fatal("the replica does not accept the next suspect")
	}
	if _, ok := running.Start(start, "r2", 1, RunAlone); !ok {
		t.Fatal("a finished suspect cannot run again")
	}
}

func TestCrashIsReportedOnce(t *testing.T) {
	running := NewActiveRuns()
	a, _ := running.Start(start, "r1", 1, Normal)
	b, _ := running.Start(start, "r1", 2, RunAlone)
	if crashed := running.Crash(start, a); len(crashed) != 2 {
		t.Fatalf("crashed %v, want both", crashed)
	}
	later, _ := running.Start(start, "r1", 3, Normal)
	if crashed := running.Crash(start, b); len(crashed) != 0 {
		t.Fatalf("crashed %v on the second report, want none", crashed)
	}
	running.Answered(later)
	running.Finish(later)
	if running.SuspectOn("r1") || len(running.suspects) != 0 || len(running.shard("r1").replicas) != 0 {
		t.Fatal("ended runs were not removed")
	}
}

// Requests sent to a replica that is still down from a crash must not be blamed
// for it.
func TestRestartingReplicaIsNotACrash(t *testing.T) {
	tests := []struct {
		name     string
		answered bool
		after    time.Duration
		want     int
	}{
		{"still down", false, restartTime - 1, 0},
		{"answered since", true, time.Second, 1},
		{"long past", false, restartTime, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			running := NewActiveRuns()
			cause, _ := running.Start(start, "r1", 1, Normal)
			running.Crash(start, cause)
			later, _ := running.Start(start, "r1", 2, RunAlone)
			if test.answered {
				running.Answered(later)
			}
			if crashed := running.Crash(start.Add(test.after), later); len(crashed) != test.want {
				t.Fatalf("crashed %v, want %d", crashed, test.want)
			}
			if running.SuspectOn("r1") || len(running.suspects) != 0 {
				t.Fatal("the ended run was not removed")
			}
		})
	}
}
