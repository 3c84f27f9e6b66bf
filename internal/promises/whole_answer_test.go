package promises

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/embedded"
	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/fault"
)

// TestEachCallerGetsItsOwnWholeAnswer sends many different prompts at once to
// all nodes while engines crash, straggle and refuse. Whatever ends as a whole
// answer must be the caller's own, in full; whatever does not must say so.
func TestEachCallerGetsItsOwnWholeAnswer(t *testing.T) {
	d := start(t, embedded.Options{Engine: engine.Options{Speed: 10}})
	breakWith(t, d.Engine(0).Faults(), fault.Spec{Kind: fault.CrashMidAnswer, Text: "number 7 "})
	breakWith(t, d.Engine(1).Faults(), fault.Spec{Kind: fault.Straggler, Factor: 5})
	breakWith(t, d.Engine(2).Faults(), fault.Spec{Kind: fault.Refuse})
	const callers = 120
	outcomes := make([]outcome, callers)
	calls := make([]call, callers)
	var wait sync.WaitGroup
	for i := range callers {
		calls[i] = call{
			address: d.Nodes[i%len(d.Nodes)].EntryAddress(),
			key:     embedded.PrairieKey,
			class:   "counter",
			prompt:  fmt.Sprintf("question number %d of shop %d", i%40, i),
			tokens:  5 + i%30,
			stream:  i%2 == 0,
		}
		wait.Go(func() { outcomes[i] = chat(context.Background(), calls[i]) })
	}
	wait.Wait()
	whole := 0
	for i, o := range outcomes {
		want := engine.ExpectedAnswer(calls[i].prompt, calls[i].tokens)
		switch {
		case o.clean && o.text != want:
			t.Errorf("call %d ended cleanly with %q, want %q", i, o.text, want)
		case o.clean:
			whole++
		case !strings.HasPrefix(want, o.text):
			t.Errorf("call %d got %q, no prefix of its own answer %q", i, o.text, want)
		case o.status != 200 && o.refusal == "":
			t.Errorf("call %d: status %d without an outcome", i, o.status)
		}
	}
	if whole < callers/2 {
		t.Errorf("only %d of %d answers were whole", whole, callers)
	}
}

// TestEngineLossMidAnswerIsNeverACleanEnd cuts one engine in the middle of a
// stream of a deployment with that engine alone.
func TestEngineLossMidAnswerIsNeverACleanEnd(t *testing.T) {
	d := start(t, embedded.Options{Nodes: 1, Engines: 1, Engine: engine.Options{RestartTime: time.Hour}})
	breakWith(t, d.Engine(0).Faults(), fault.Spec{Kind: fault.CrashMidAnswer})
	for _, stream := range []bool{true, false} {
		o := chat(context.Background(), call{
			address: d.Nodes[0].EntryAddress(), key: embedded.PrairieKey, class: "counter",
			prompt: "a b c d", tokens: 40, stream: stream,
			header: map[string]string{"Trestle-Timeout": "2s"},
		})
		if o.clean {
			t.Errorf("stream %t: a clean end after the engine's loss: %+v", stream, o)
		}
		if o.status != 200 && o.refusal == "" {
			t.Errorf("stream %t: no outcome told: %+v", stream, o)
		}
	}
}
