package load

import (
	"testing"
	"time"

	"galenatrestle/internal/config"
)

func TestIdealKnowsLengthsAndTargets(t *testing.T) {
	w := &Workload{
		Duration: config.Duration(10 * time.Second),
		Classes: []Class{
			{Name: "quick", Tier: 0, TargetFirstToken: config.Duration(time.Second), TargetAnswer: config.Duration(3 * time.Second)},
			{Name: "slow", Tier: 1, TargetAnswer: config.Duration(time.Minute)},
		},
	}
	quick := &Stream{Class: "quick"}
	slow := &Stream{Class: "slow", GiveUpAfter: config.Duration(5 * time.Second)}
	call := &Stream{Class: "quick", Service: &Service{}}
	requests := []Request{
		{At: 0, Stream: slow, Prompt: "a b", MaxTokens: 4},
		{At: 0, Stream: quick, Prompt: "a", MaxTokens: 2},
		{At: 0, Stream: quick, Prompt: "a", MaxTokens: 2},
		{At: 0, Stream: call},
		{At: time.Second, Stream: slow, Prompt: "a", MaxTokens: 4},
	}
	ideal := Ideal{Slots: 1, TokenInterval: 500 * time.Millisecond, PrefillPerToken: 100 * time.Millisecond}
	// The first quick one ends at 1.1 s and the second starts past its latest;
	// the first slow one ends at 4.4 s, and the other's caller is gone before.
	o := ideal.Clairvoyant(w, requests)
	if o.Offered[0] != 2 || o.Offered[1] != 2 {
		t.Errorf("offered %v, want 2 of each class", o.Offered)
	}
	if o.OnTarget[0] != 1 || o.OnTarget[1] != 1 || o.Tokens != 6 {
		t.Errorf("on target %v with %d tokens, want 1 of each with 6", o.OnTarget, o.Tokens)
	}
	if want := 4400 * time.Millisecond; o.End != want {
		t.Errorf("ended at %v, want %v", o.End, want)
	}
}
