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

// TestNotRunIsTrue drives a small deployment far past its capacity with short
// deadlines while engines refuse, hang and crash, and compares every refusal
// that says not-run with what the engines ran.
func TestNotRunIsTrue(t *testing.T) {
	d := start(t, embedded.Options{Engine: engine.Options{Speed: 10, Slots: 2}})
	breakWith(t, d.Engine(0).Faults(), fault.Spec{Kind: fault.Refuse})
	breakWith(t, d.Engine(1).Faults(), fault.Spec{Kind: fault.Hang})
	breakWith(t, d.Engine(2).Faults(), fault.Spec{Kind: fault.CrashOnPrompt, Text: "poison"})
	const callers = 200
	outcomes := make([]outcome, callers)
	var wait sync.WaitGroup
	for i := range callers {
		prompt := "plain question"
		if i%50 == 0 {
			prompt = "a poison question"
		}
		c := call{
			address: d.Nodes[i%len(d.Nodes)].EntryAddress(),
			key:     embedded.PrairieKey, class: "counter",
			prompt: fmt.Sprintf("%s %d", prompt, i), tokens: 50, stream: i%2 == 0,
			header: map[string]string{"Trestle-Timeout": (300 * time.Millisecond).String()},
		}
		wait.Go(func() { outcomes[i] = chat(context.Background(), c) })
	}
	wait.Wait()
	ran := runsByRequest(d)
	told := 0
	for i, o := range outcomes {
		if o.refusal != "not-run" {
			continue
		}
		told++
		if o.requestID == "" {
			t.Errorf("call %d: refused without a request id", i)
		}
		if ran[o.requestID] > 0 {
			t.Errorf("call %d (%s): told not-run (%s), ran %d times", i, o.requestID, o.reason, ran[o.requestID])
		}
	}
	if told == 0 {
		t.Error("no request was refused as not run: the test did not load the system")
	}
}

// runsByRequest counts what the engines ran, by the caller's request id.
func runsByRequest(d *embedded.Deployment) map[string]int {
	ran := make(map[string]int)
	for i := range d.Engines() {
		for _, run := range d.Engine(i).Runs().Report().Runs {
			id := run.RequestID
			if cut := strings.LastIndex(id, "."); cut >= 0 {
				id = id[:cut]
			}
			ran[id]++
		}
	}
	return ran
}
