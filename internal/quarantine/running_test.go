package quarantine

import "testing"

func TestSuspectsRunApart(t *testing.T) {
	running := NewRunning()
	first, ok := running.Start("r1", 1, RunAlone)
	if !ok {
		t.Fatal("a suspect cannot run")
	}
	if _, ok := running.Start("r1", 2, RunAlone); ok {
		t.Fatal("two suspects on one replica")
	}
	if _, ok := running.Start("r2", 1, RunAlone); ok {
		t.Fatal("one suspect on two replicas")
	}
	if _, ok := running.Start("r1", 3, Normal); !ok {
		t.Fatal("a normal request is held back")
	}
	running.Finish(first)
	running.Finish(first)
	if _, ok := running.Start("r1", 2, RunAlone); !ok {
		t.Fatal("the replica is not free for the next suspect")
	}
	if _, ok := running.Start("r2", 1, RunAlone); !ok {
		t.Fatal("the suspect is not free to run again")
	}
}

func TestCrashIsReportedOnce(t *testing.T) {
	running := NewRunning()
	a, _ := running.Start("r1", 1, Normal)
	b, _ := running.Start("r1", 2, RunAlone)
	if crashed := running.Crash(a); len(crashed) != 2 {
		t.Fatalf("crashed %v, want both", crashed)
	}
	later, _ := running.Start("r1", 3, Normal)
	if crashed := running.Crash(b); len(crashed) != 0 {
		t.Fatalf("crashed %v on the second report, want none", crashed)
	}
	running.Finish(later)
	if running.SuspectOn("r1") || len(running.suspects) != 0 || len(running.shard("r1").replicas) != 0 {
		t.Fatal("ended runs are kept")
	}
}
