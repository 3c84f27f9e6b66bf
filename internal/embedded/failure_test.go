package embedded

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/fault"
)

func switchAll(t *testing.T, d *Deployment, spec fault.Spec) {
	t.Helper()
	for i := range d.options.Engines {
		if err := d.Engine(i).Faults().Switch(spec); err != nil {
			t.Fatal(err)
		}
	}
}

// TestUncontinuableStream breaks a stream whose shape allows no continuation:
// it must not look whole.
func TestUncontinuableStream(t *testing.T) {
	d := startWith(t, Options{Nodes: 1, Engine: engine.Options{RestartTime: time.Millisecond}})
	switchAll(t, d, fault.Spec{Kind: fault.CrashMidAnswer})
	const body = `{"model":"trestle-llm","stream":true,"n":2,"max_tokens":20,"messages":[{"role":"user","content":"a b"}]}`
	text, end := openStream(t, d, 0, http.MethodPost, "/v1/chat/completions", body, nil).read(0)
	if text == "" || end != "upstream_failed" {
		t.Fatalf("answer %q ends with %q, want an error event", text, end)
	}
	if n := crashes(d); n != 1 {
		t.Fatalf("%d crashes, want 1", n)
	}
}

// TestNotRunIsTrue lets all engines refuse and compares what the caller is told
// with what they ran.
func TestNotRunIsTrue(t *testing.T) {
	d := startWith(t, Options{Nodes: 1})
	switchAll(t, d, fault.Spec{Kind: fault.Refuse})
	refused := chatStream(t, d, 0, prompt, 3)
	if reason := refused.response.Header.Get("Trestle-Reason"); reason != "upstream_refused" {
		t.Errorf("reason %q", reason)
	}
	if outcome := refused.response.Header.Get("Trestle-Outcome"); outcome != "not-run" {
		t.Errorf("outcome %q", outcome)
	}
	if refused.response.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	if n := begun(d); n != 0 {
		t.Errorf("%d runs of a request that was not run", n)
	}
}

// TestRefusingEngineIsPassedOver lets one engine refuse: nobody notices.
func TestRefusingEngineIsPassedOver(t *testing.T) {
	d := startWith(t, Options{Nodes: 1})
	if err := d.Engine(0).Faults().Switch(fault.Spec{Kind: fault.Refuse}); err != nil {
		t.Fatal(err)
	}
	want := engine.ExpectedAnswer(prompt, 2)
	for range 20 {
		if text, end := chatStream(t, d, 0, prompt, 2).read(0); text != want || end != "[DONE]" {
			t.Fatalf("answer %q ends with %q, want %q", text, end, want)
		}
	}
	if d.Engine(0).Runs().Report().Totals.Begun != 0 {
		t.Fatal("the refusing engine ran something")
	}
}

// TestManyBrokenAtOnce lets two of four engines crash and stay away while 40
// streams run: each ends whole, with an error event after a true prefix, or is
// refused with a reason.
func TestManyBrokenAtOnce(t *testing.T) {
	d := startWith(t, Options{Nodes: 1})
	for i := range 2 {
		if err := d.Engine(i).Faults().Switch(fault.Spec{Kind: fault.CrashMidAnswer}); err != nil {
			t.Fatal(err)
		}
	}
	var wait sync.WaitGroup
	var whole atomic.Int64
	for i := range 40 {
		prompt := fmt.Sprintf("tab number %d for table seven", i)
		want := engine.ExpectedAnswer(prompt, 30)
		stream := chatStream(t, d, 0, prompt, 30)
		wait.Go(func() {
			text, end := stream.read(0)
			reason := stream.response.Header.Get("Trestle-Reason")
			switch {
			case end == "[DONE]" && text == want:
				whole.Add(1)
			case stream.response.StatusCode != http.StatusOK && reason != "":
				t.Logf("request %d refused with %s", i, reason)
			case end == "[DONE]" || end == "" || !strings.HasPrefix(want, text):
				t.Errorf("answer %q ends with %q, want %q", text, end, want)
			default:
				t.Logf("stream %d ends with %s after %q", i, end, text)
			}
		})
	}
	wait.Wait()
	t.Logf("%d of 40 whole, %d runs crashed", whole.Load(), crashes(d))
	// Each engine that crashes has at most its 8 slots' requests.
	if crashes(d) == 0 || whole.Load() < 40-2*8 {
		t.Fatal("nothing crashed, or a request was lost that met no crash")
	}
}
