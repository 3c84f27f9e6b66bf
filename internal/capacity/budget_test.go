package capacity

import (
	"bytes"
	"strings"
	"testing"

	"galenatrestle/internal/quotashare"
)

func straight(role Role, quantity string, value float64) Slope {
	return Slope{Role: role, Quantity: quantity, Target: 1, Line: Line{Scale: Linear, Intercept: value}}
}

func TestBudgetAddsUp(t *testing.T) {
	fleet := Fleet{ChangesPerDay: secondsPerDay, Models: 2, Nodes: 60, Regions: 2}
	shares := Budget(fleet, []Slope{
		straight(RolePeerLink, "processor time of a call", 0.002),
		straight(RoleMembership, "bytes in and out", 1000),
		straight(RoleMembership, "calls made and answered", 3),
		straight(RoleMembership, "processor time without the link", 0.01),
		straight(RoleConfiguration, "bytes a change, a node's mean", 30),
		straight(RoleConfiguration, "processor time of a small change at a node", 0.5),
		straight(RoleConfiguration, "heap of one revision", 100),
		straight(RoleNode, "heap with all replicas", 350),
		straight(RoleDecisions, "heap of the length estimates of one model", 7),
		straight(RoleInstances, "bytes of one read", 20000),
		straight(RoleCredits, "calls made and answered", 2),
	})
	var core, bytesPerSecond, memory float64
	for _, s := range shares {
		core += s.Core
		bytesPerSecond += s.BytesPerSecond
		memory += s.Bytes
	}
	wantBytes := 1000 + 30 + messagesPerChange*callFraming + tcpAndTLS*exchangesPerSecond + 1000 + 2*tcpAndTLS + 2*quotashare.DefaultBytesPerSecond
	wantCore := 0.01 + 3*0.001 + 0.5 + messagesPerChange*0.001 + exchangesPerSecond*0.001
	const wantMemory = 200 + 250 + 14
	for name, pair := range map[string][2]float64{
		"bytes": {bytesPerSecond, wantBytes}, "core": {core, wantCore}, "memory": {memory, wantMemory},
	} {
		if d := pair[0] - pair[1]; d > 1e-9 || d < -1e-9 {
			t.Errorf("%s: %g, want %g", name, pair[0], pair[1])
		}
	}
}

func TestWriteBudget(t *testing.T) {
	var table bytes.Buffer
	shares := []Share{{Role: "a", BytesPerSecond: 6000}, {Role: "b", BytesPerSecond: 6000, Bytes: 16e6}}
	if err := WriteBudget(&table, NodeAllowance(), shares); err != nil {
		t.Fatal(err)
	}
	if got := table.String(); !strings.Contains(got, "150%, 0% and 50% of what is allowed") {
		t.Errorf("the sum is wrong:\n%s", got)
	}
}
