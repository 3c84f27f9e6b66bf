package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/config"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/standin/fault"
	"galenatrestle/internal/testnet"
)

func TestFaults(t *testing.T) {
	switchOn := func(t *testing.T, e *Engine, spec fault.Spec) {
		t.Helper()
		if err := e.Faults().Switch(spec); err != nil {
			t.Fatal(err)
		}
	}
	t.Run("refuse and leaving do not run", func(t *testing.T) {
		for kind, code := range map[fault.Kind]string{fault.Refuse: openai.CodeOverloaded, fault.Leaving: openai.CodeLeaving} {
			bubbletest.Run(t, func(t *testing.T) {
				e := New(Options{Name: "e1", Model: testModel})
				client := testnet.Serve(t, e)
				switchOn(t, e, fault.Spec{Kind: kind, For: config.Duration(time.Second)})
				response, err := post(t, client, "/v1/chat/completions", chat("a", 1, true))
				if err != nil {
					t.Fatal(err)
				}
				defer response.Body.Close()
				var body openai.ErrorBody
				if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
					t.Fatal(err)
				}
				if response.StatusCode != http.StatusServiceUnavailable || body.Error.Code != code {
					t.Errorf("%s: status %d code %q", kind, response.StatusCode, body.Error.Code)
				}
				if begun := e.Runs().Report().Totals.Begun; begun != 0 {
					t.Errorf("%s: %d runs", kind, begun)
				}
				time.Sleep(time.Second)
				streamAnswer(t, client, chat("a", 1, true))
			})
		}
	})
	t.Run("straggler", func(t *testing.T) {
		bubbletest.Run(t, func(t *testing.T) {
			e := New(Options{Name: "e1", Model: testModel, PrefillPerToken: 1})
			client := testnet.Serve(t, e)
			start := time.Now()
			streamAnswer(t, client, chat("a", 50, true))
			well := time.Since(start)
			switchOn(t, e, fault.Spec{Kind: fault.Straggler, Factor: 4})
			start = time.Now()
			streamAnswer(t, client, chat("a", 50, true))
			if slow := time.Since(start); slow < well*39/10 || slow > well*41/10 {
				t.Errorf("straggler took %v, well %v: want 4 times", slow, well)
			}
		})
	})
	t.Run("hang sends nothing and ends", func(t *testing.T) {
		bubbletest.Run(t, func(t *testing.T) {
			e := New(Options{Name: "e1", Model: testModel})
			client := testnet.Serve(t, e)
			switchOn(t, e, fault.Spec{Kind: fault.Hang, For: config.Duration(time.Minute)})
			start := time.Now()
			streamAnswer(t, client, chat("a", 2, true))
			if took := time.Since(start); took < time.Minute {
				t.Errorf("answered after %v", took)
			}
		})
	})
	t.Run("a caller that gives up on a hung engine is seen", func(t *testing.T) {
		bubbletest.Run(t, func(t *testing.T) {
			e := New(Options{Name: "e1", Model: testModel})
			client := testnet.Serve(t, e)
			client.Timeout = time.Second
			switchOn(t, e, fault.Spec{Kind: fault.Hang})
			if _, err := post(t, client, "/v1/chat/completions", chat("a", 2, true)); err == nil {
				t.Error("a hung engine answered")
			}
			time.Sleep(time.Second)
			if report := e.Runs().Report(); report.Totals.Cancelled != 1 {
				t.Errorf("totals %+v, want one cancelled", report.Totals)
			}
		})
	})
}

func TestCrashEndsAHandlerWhoseCallerDoesNotRead(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		e := New(Options{Name: "e1", Model: testModel})
		var active atomic.Int32
		client := testnet.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			active.Add(1)
			defer active.Add(-1)
			e.ServeHTTP(w, r)
		}))
		response, err := post(t, client, "/v1/chat/completions", chat("a b", 5000, true))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		time.Sleep(time.Minute)
		if err := e.Faults().Switch(fault.Spec{Kind: fault.CrashMidAnswer}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if active.Load() != 0 {
			t.Error("the handler outlived the crash")
		}
		if _, _, done, err := readStream(response.Body); done || err == nil {
			t.Errorf("done %v, err %v: want a cut stream", done, err)
		}
	})
}

func TestCrashBreaksEveryConnectionAndIsOver(t *testing.T) {
	tests := []struct {
		name  string
		spec  fault.Spec
		again bool // the prompt crashes the engine a second time
	}{
		{"once", fault.Spec{Kind: fault.CrashMidAnswer, Text: "poison"}, false},
		{"on prompt", fault.Spec{Kind: fault.CrashOnPrompt, Text: "poison"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				e := New(Options{Name: "e1", Model: testModel})
				client := testnet.Serve(t, e)
				if err := e.Faults().Switch(tt.spec); err != nil {
					t.Fatal(err)
				}
				innocent, err := post(t, client, "/v1/chat/completions", chat("innocent", 100, true))
				if err != nil {
					t.Fatal(err)
				}
				response, err := post(t, client, "/v1/chat/completions", chat("the poison", 100, true))
				if err != nil {
					t.Fatal(err)
				}
				for name, body := range map[string]io.Reader{"innocent": innocent.Body, "poison": response.Body} {
					text, _, done, _ := readStream(body)
					if done || text == "" {
						t.Errorf("%s: text %q, done %v: want a cut answer", name, text, done)
					}
				}
				if _, err := post(t, client, "/v1/chat/completions", chat("early", 1, true)); err == nil {
					t.Error("the engine answered while it was down")
				}
				time.Sleep(defaultRestartTime)
				streamAnswer(t, client, chat("well again", 3, true))
				response, err = post(t, client, "/v1/chat/completions", chat("the poison", 9, true))
				if err != nil {
					t.Fatal(err)
				}
				if _, _, done, _ := readStream(response.Body); done == tt.again {
					t.Errorf("sent again: done %v", done)
				}
				totals := e.Runs().Report().Totals
				if totals.Crashed < 2 || totals.Begun != totals.Completed+totals.Crashed {
					t.Errorf("totals %+v", totals)
				}
			})
		})
	}
}
