package embedded

import (
	"strings"
	"testing"

	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/fault"
)

// hangOne asks often enough that the first token times are known and the budget
// is fed, makes the first engine hang, and asks until an attempt was made there
// beside that which answered.
func hangOne(t *testing.T, d *Deployment) {
	t.Helper()
	const tokens = 2
	want := engine.ExpectedAnswer(prompt, tokens)
	ask := func() {
		t.Helper()
		if text, end := chatStream(t, d, 0, prompt, tokens).read(0); text != want || end != "[DONE]" {
			t.Fatalf("answer %q ends with %q, want %q", text, end, want)
		}
	}
	for range 60 {
		ask()
	}
	if err := d.Engine(0).Faults().Switch(fault.Spec{Kind: fault.Hang}); err != nil {
		t.Fatal(err)
	}
	for asked := int64(61); asked < 90; asked++ {
		ask()
		if begun(d) > asked {
			return
		}
	}
	t.Fatal("the engine that hangs was never used")
}

// TestHedge lets one engine of two hang: requests that hang there are answered
// by the other.
func TestHedge(t *testing.T) {
	hedged := strings.Replace(defaultConfig, "target_first_token: 800ms", "target_first_token: 800ms\n    hedge: true", 1)
	hangOne(t, startWith(t, Options{Nodes: 1, Engines: 2, Config: hedged}))
}

// TestHangingEngineIsGivenUp does the same without hedges: the attempt that
// hangs is given up long before its caller gives up.
func TestHangingEngineIsGivenUp(t *testing.T) {
	hangOne(t, startWith(t, Options{Nodes: 1, Engines: 2}))
}

// begun counts the attempts that engines began.
func begun(d *Deployment) (n int64) {
	for i := range d.options.Engines {
		n += d.Engine(i).Runs().Report().Totals.Begun
	}
	return n
}
