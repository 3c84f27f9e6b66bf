package embedded

import (
	"strings"
	"testing"

	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/fault"
)

// TestHedge lets one engine of two hang: requests that hang there are answered
// by the other, and the engine is told to stop.
func TestHedge(t *testing.T) {
	hedged := strings.Replace(defaultConfig, "target_first_token: 800ms", "target_first_token: 800ms\n    hedge: true", 1)
	d := startWith(t, Options{Nodes: 1, Engines: 2, Config: hedged})
	const tokens = 2
	want := engine.ExpectedAnswer(prompt, tokens)
	ask := func() {
		t.Helper()
		if text, end := chatStream(t, d, 0, prompt, tokens).read(0); text != want || end != "[DONE]" {
			t.Fatalf("answer %q ends with %q, want %q", text, end, want)
		}
	}
	// The first token times are learnt, and the budget is fed.
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

// begun counts the attempts that engines began.
func begun(d *Deployment) (n int64) {
	for i := range d.options.Engines {
		n += d.Engine(i).Runs().Report().Totals.Begun
	}
	return n
}
