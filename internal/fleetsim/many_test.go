package fleetsim

import (
	"testing"
	"time"
)

// manyNodes is a burst of long prompts on the cold caches of a large fleet: each of
// eighty nodes places a few of the requests, and hears of the others' late.
func manyNodes(seed uint64) Scenario {
	return Scenario{
		Nodes: 80, Engines: 160, Model: smallEngine, Length: 14 * time.Second,
		NewsEvery: 225 * time.Millisecond, Hubs: true, Copies: true, Seed: seed,
		Classes: []Class{
			{Name: letter, Rank: 1, PerSecond: 330, Objective: 600 * time.Millisecond, MaxPause: 500 * time.Millisecond, Patience: 5 * time.Second,
				OwnTokens: 2900, AnswerTokens: 50, Spread: 0.9, Sessions: 1500, SharedTokens: 3780, Common: 4, CommonTokens: 2520},
			{Name: question, Rank: 0, PerSecond: 220, Objective: 300 * time.Millisecond, MaxPause: 300 * time.Millisecond, Patience: 5 * time.Second,
				OwnTokens: 630, AnswerTokens: 290, Spread: 0.7, Sessions: 3000, SharedTokens: 80, Common: 80, CommonTokens: 120},
		},
		Bursts: []Burst{{letter, 500 * time.Millisecond, 9 * time.Second, 1.6}},
	}
}

func TestMany(t *testing.T) {
	r := play(t, manyNodes, nil)
	t.Logf("busiest %.2f", r.Busiest)
}
