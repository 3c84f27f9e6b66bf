package fleetsim

import (
	"testing"
	"time"
)

// shortBursts is a fleet of 75 nodes with three bursts above the capacity, each of them for a second.
func shortBursts(seed uint64) Scenario {
	s := Scenario{
		Nodes: 75, Engines: 30, Length: 20 * time.Second, NewsEvery: 225 * time.Millisecond, Hubs: true, Copies: true, Seed: seed,
		Model: EngineModel{TokensPerMS: 44, Chunk: 4096, StepMS: 3.4, PerRequestMS: 0.05, Slots: 64, MemoryTokens: 366_000, TokensPerEvent: 2},
		Classes: []Class{
			{Name: letter, Rank: 1, PerSecond: 140, Objective: 600 * time.Millisecond, MaxPause: 600 * time.Millisecond, Patience: 5 * time.Second,
				OwnTokens: 2900, AnswerTokens: 54, Spread: 0.5, Sessions: 240, SharedTokens: 200},
			{Name: question, Rank: 0, PerSecond: 60, Objective: 250 * time.Millisecond, MaxPause: 600 * time.Millisecond, Patience: 15 * time.Second,
				OwnTokens: 630, AnswerTokens: 150, Spread: 0.5, Sessions: 240, SharedTokens: 200},
		},
	}
	for at := 2 * time.Second; at < 14*time.Second; at += 4 * time.Second {
		s.Bursts = append(s.Bursts, Burst{letter, at, at + time.Second, 4.5}, Burst{question, at, at + time.Second, 3})
	}
	return s
}

// playReturns adds up the reports of some seeds, with and without the schedule of returns.
func playReturns(t *testing.T, scenario func(uint64) Scenario, on bool) (served, servedOnReturn float64) {
	t.Helper()
	var all Tally
	returned, ok := 0, 0
	for _, seed := range seeds {
		s := scenario(seed)
		s.Returns = on
		r := Play(s)
		returned, ok = returned+r.Returned, ok+r.Served
		for _, tally := range r.Classes {
			all.Add(tally)
		}
	}
	served, servedOnReturn = float64(all.OnTime+all.Late)/float64(all.Asked), float64(ok)/float64(returned)
	t.Logf("returns %t: %s, %d returned, %.3f of them served", on, &all, returned, servedOnReturn)
	return served, servedOnReturn
}

// Guards against callers that return as they were told and are refused again. All were told about the same
// delay, returned during the same burst, and competed with newcomers.
func TestCallersThatReturnAsToldAreServed(t *testing.T) {
	t.Parallel()
	without, refusedAgain := playReturns(t, shortBursts, false)
	served, servedOnReturn := playReturns(t, shortBursts, true)
	if servedOnReturn < 0.95 {
		t.Errorf("%.3f of the callers that returned were served, %.3f without the schedule", servedOnReturn, refusedAgain)
	}
	if served < without {
		t.Errorf("%.3f of all calls were served, %.3f without the schedule", served, without)
	}
}

// In a lasting overload, as many are refused in the end. Guards against returns that cost others their answers.
func TestReturnsCostNoAnswersInALastingOverload(t *testing.T) {
	t.Parallel()
	lasting := func(seed uint64) Scenario {
		s := shortBursts(seed)
		s.Length, s.Bursts = 14*time.Second, []Burst{{letter, 2 * time.Second, 8 * time.Second, 3.5}}
		return s
	}
	without, before := playReturns(t, lasting, false)
	served, servedOnReturn := playReturns(t, lasting, true)
	if served < without-0.01 || servedOnReturn < before {
		t.Errorf("%.3f of all calls were served and %.3f on their return, %.3f and %.3f without the schedule", served, servedOnReturn, without, before)
	}
}
