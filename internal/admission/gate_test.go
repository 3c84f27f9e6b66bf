package admission

import (
	"testing"
	"time"
)

func TestGateLetsProbesThroughAlone(t *testing.T) {
	var g Gate
	admitted := 0
	for range 100 {
		if g.Admit(2*time.Second, time.Second) {
			admitted++
		}
	}
	if admitted != 100/probeEvery {
		t.Errorf("admitted %d of 100 hopeless requests, want %d", admitted, 100/probeEvery)
	}
	if !g.Admit(time.Second, time.Second) {
		t.Error("refused a request that fits")
	}
	for range 100 {
		if g.Admit(0, 0) {
			t.Fatal("admitted a request whose time is up")
		}
	}
}
