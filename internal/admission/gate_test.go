package admission

import (
	"testing"
	"time"
)

func TestGateAdmitsOnlyProbesOfInfeasibleRequests(t *testing.T) {
	var g Gate
	admitted := 0
	for range 100 {
		if g.Admit(2*time.Second, time.Second) {
			admitted++
		}
	}
	if admitted != 100/probeInterval {
		t.Errorf("admitted %d of 100 infeasible requests, want %d", admitted, 100/probeInterval)
	}
	if !g.Admit(time.Second, time.Second) {
		t.Error("rejected a feasible request")
	}
	for range 100 {
		if g.Admit(0, 0) {
			t.Fatal("admitted an expired request")
		}
	}
}
