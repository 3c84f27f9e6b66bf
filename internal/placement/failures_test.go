package placement

import (
	"testing"
	"time"
)

// A node that was cut off from all replicas reported them as failing, and the others avoided them.
func TestFailuresOfALostPathAreNotReported(t *testing.T) {
	p, _ := newFleet(3, 1)
	for range 6 {
		p.Choose(time.Now(), "u", short()).End(time.Now(), Unreachable)
	}
	if len(p.Loads(time.Now())) == 0 {
		t.Fatal("failures are not reported at all")
	}
	p.ForgetFailures()
	if loads := p.Loads(time.Now()); len(loads) > 0 {
		t.Errorf("reported after the path was lost: %+v", loads)
	}
}
