package bubbletest

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// turns counts the bubbles that run. processors is the value of GOMAXPROCS without them.
var turns struct {
	mu         sync.Mutex
	bubbles    int
	processors int
}

// Run runs f in a synctest bubble.
func Run(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceDetectorEnabled {
		takeTurns()
		defer endTurns()
	}
	synctest.Test(t, f)
}

func takeTurns() {
	turns.mu.Lock()
	defer turns.mu.Unlock()
	if turns.bubbles == 0 {
		turns.processors = runtime.GOMAXPROCS(1)
	}
	turns.bubbles++
}

func endTurns() {
	turns.mu.Lock()
	defer turns.mu.Unlock()
	turns.bubbles--
	if turns.bubbles == 0 {
		runtime.GOMAXPROCS(turns.processors)
	}
}
