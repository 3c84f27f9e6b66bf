package load

import (
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/config"
	"galenatrestle/internal/standin"
	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/fault"
	"galenatrestle/internal/testnet"
)

func TestInjectorThrowsByPatternAndTime(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		engines := map[string]standin.Standin{}
		for _, name := range []string{"llm-0", "llm-1", "llm-11", "api-1"} {
			engines[name] = engine.New(engine.Options{Name: name, Model: "m"})
		}
		client := testnet.Serve(t, standin.Handler(engines))
		injector, err := NewInjector(t.Context(), client, []string{"http://ops"})
		if err != nil {
			t.Fatal(err)
		}
		lost := Fault{At: config.Duration(3 * time.Second), Standins: []string{"llm-*[13579]"}, Kind: fault.Refuse}
		start := time.Now()
		if err := injector.Run(t.Context(), []Fault{lost}); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took != 3*time.Second {
			t.Errorf("thrown after %v", took)
		}
		for name, want := range map[string]bool{"llm-0": false, "llm-1": true, "llm-11": true, "api-1": false} {
			if _, on := engines[name].Faults().Get(fault.Refuse); on != want {
				t.Errorf("%s: refuses %v, want %v", name, on, want)
			}
		}
		for _, wrong := range []Fault{
			{Standins: []string{"other"}, Kind: fault.Refuse},
			{Standins: []string{"llm-0"}, Kind: "unheard-of"},
		} {
			if err := injector.Run(t.Context(), []Fault{wrong}); err == nil {
				t.Errorf("fault %+v was thrown", wrong)
			}
		}
	})
}
