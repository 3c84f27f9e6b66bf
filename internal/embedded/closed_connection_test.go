package embedded

import (
	"testing"
	"time"

	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/fault"
)

// TestConnectionClosedBeforeAnswer crashes one of two engines, which then
// closes every connection without an answer: no such end may look whole.
func TestConnectionClosedBeforeAnswer(t *testing.T) {
	d := startWith(t, Options{Nodes: 1, Engines: 2, Engine: engine.Options{RestartTime: time.Hour}})
	if err := d.Engine(0).Faults().Switch(fault.Spec{Kind: fault.CrashMidAnswer}); err != nil {
		t.Fatal(err)
	}
	want := engine.ExpectedAnswerSeeded(prompt, 4, defaultSeed)
	whole := 0
	for range 30 {
		text, end := chatStream(t, d, 0, prompt, 4).read(0)
		if end != "[DONE]" {
			continue
		}
		whole++
		if text != want {
			t.Errorf("answer %q ends cleanly, want %q", text, want)
		}
	}
	if whole == 0 || d.Engine(0).Runs().Report().Totals.Crashed == 0 {
		t.Errorf("%d whole answers, engine 0 ran %+v: nothing was tried", whole, d.Engine(0).Runs().Report().Totals)
	}
}
