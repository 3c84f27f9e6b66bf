package bubbletest

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// Timers of a bubble that fired on several threads aborted the race detector.
func TestTimersFiringTogetherDoNotAbortRaceDetector(t *testing.T) {
	Run(t, func(*testing.T) {
		var goroutines sync.WaitGroup
		for range 400 {
			goroutines.Go(func() {
				for range 50 {
					fired := make(chan struct{})
					time.AfterFunc(0, func() { close(fired) })
					<-fired
				}
			})
		}
		goroutines.Wait()
	})
}

func TestProcessorsAreRestored(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	Run(t, func(t *testing.T) {
		if got := runtime.GOMAXPROCS(0); raceDetectorEnabled && got != 1 {
			t.Errorf("GOMAXPROCS in a bubble = %d, want 1", got)
		}
	})
	if got := runtime.GOMAXPROCS(0); got != before {
		t.Errorf("GOMAXPROCS after a bubble = %d, want %d", got, before)
	}
}
