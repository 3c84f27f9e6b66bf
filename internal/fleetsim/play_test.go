package fleetsim

import (
	"testing"
	"time"
)

// quickEngine reads a long prompt in a third of a second.
var quickEngine = EngineModel{
	TokensPerMS: 48, Chunk: 4096, StepMS: 2.6, PerRequestMS: 0.12, Slots: 64, MemoryTokens: 520_000, TokensPerEvent: 6,
}

// of returns an engine of another speed.
func (m EngineModel) of(speed float64) EngineModel {
	m.TokensPerMS *= speed
	m.StepMS /= speed
	m.PerRequestMS /= speed
	return m
}

const (
	history  = "history"
	letter   = "letter"
	question = "question"
)

// mixed is three classes: the more urgent a class, the shorter its prompts and its
// objective.
func mixed() []Class {
	return []Class{
		{Name: history, Rank: 2, PerSecond: 10, Objective: 2500 * time.Millisecond, MaxPause: 2 * time.Second, Patience: 8 * time.Second,
			OwnTokens: 3700, AnswerTokens: 120, Spread: 0.9, Sessions: 70, SharedTokens: 13_000},
		{Name: letter, Rank: 1, PerSecond: 8, Objective: 800 * time.Millisecond, MaxPause: 800 * time.Millisecond, Patience: 5 * time.Second,
			OwnTokens: 2900, AnswerTokens: 54, Spread: 0.9, Sessions: 80, SharedTokens: 6000},
		{Name: question, Rank: 0, PerSecond: 13, Objective: 500 * time.Millisecond, MaxPause: 500 * time.Millisecond, Patience: 8 * time.Second,
			OwnTokens: 1100, AnswerTokens: 170, Spread: 0.7, Sessions: 90, SharedTokens: 350},
	}
}

// coldBurst is a burst of the longest prompts on engines that hold none of the shared
// parts yet: the load at which most was lost.
func coldBurst(seed uint64) Scenario {
	return Scenario{
		Nodes: 7, Engines: 9, Model: quickEngine, Classes: mixed(), Length: 22 * time.Second,
		NewsEvery: 225 * time.Millisecond, Copies: true, Seed: seed,
		Bursts: []Burst{{history, 500 * time.Millisecond, 9 * time.Second, 2.6}},
	}
}

// seeds are those over which a comparison is made.
var seeds = []uint64{1, 2, 3, 4}

// play adds up the reports of all seeds, each scenario changed by change.
func play(t *testing.T, scenario func(seed uint64) Scenario, change func(*Scenario)) *Report {
	t.Helper()
	sum := &Report{Classes: make(map[string]*Tally)}
	for _, seed := range seeds {
		s := scenario(seed)
		if change != nil {
			change(&s)
		}
		r := Play(s)
		sum.ReadTokens += r.ReadTokens
		sum.ReadAgain += r.ReadAgain
		sum.Busiest += r.Busiest / float64(len(seeds))
		for name, tally := range r.Classes {
			if sum.Classes[name] == nil {
				sum.Classes[name] = &Tally{}
			}
			sum.Classes[name].Add(tally)
		}
	}
	for name, tally := range sum.Classes {
		t.Logf("%s: %s (%.3f)", name, tally, tally.OnTimeShare())
	}
	t.Logf("all on time %.3f, read %d thousand tokens, %d again", sum.OnTimeShare(), sum.ReadTokens, sum.ReadAgain)
	return sum
}

func TestTheSameSeedPlaysTheSameDay(t *testing.T) {
	t.Parallel()
	one, two := Play(coldBurst(1)), Play(coldBurst(1))
	for name, tally := range one.Classes {
		if *tally != *two.Classes[name] {
			t.Errorf("%s: %s and then %s", name, tally, two.Classes[name])
		}
	}
}
