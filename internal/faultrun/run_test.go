package faultrun

import (
	"strings"
	"testing"
	"time"
)

// fixedSeed draws a planned stop, a killed node, lapsed leases, a stale list of
// VMs, an accepted configuration, an engine that crashes and one that leaves,
// stragglers and a poison prompt.
const fixedSeed = 1003

// TestOneSchedule runs one short schedule with all checks.
func TestOneSchedule(t *testing.T) {
	o := Options{Nodes: 3, Engines: 4, Services: DefaultServices, For: 2 * time.Second}
	result, err := Run(t.Context(), fixedSeed, o)
	if err != nil {
		t.Fatal(err)
	}
	var printed strings.Builder
	result.Print(&printed)
	t.Log(printed.String())
	if len(result.Violations) > 0 || result.Dropped > 0 {
		t.Errorf("%d violations, %d runs not listed", len(result.Violations), result.Dropped)
	}
	whole := 0
	for _, try := range result.Tries {
		if try.answered(fixedSeed) {
			whole++
		}
	}
	if whole < len(result.Schedule.Offers)/4 {
		t.Errorf("%d whole answers to %d offers: the run shows little", whole, len(result.Schedule.Offers))
	}
}

func TestSizesThatMakeNoSense(t *testing.T) {
	for name, o := range map[string]Options{
		"one node": {Nodes: 1, Engines: 1, Services: 1, For: minFor},
		"no time":  {Nodes: 2, Engines: 1, Services: 1},
		"nothing":  {Nodes: 2, Services: 1, For: minFor},
	} {
		if _, err := Run(t.Context(), 1, o); err == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}
