package fleetsim

import (
	"testing"
	"time"
)

// manyNodes is a burst of long prompts on the cold caches of a large fleet: each of
// eighty nodes places a few of the requests, and hears of the others' late.
func manyNodes(seed uint64) Scenario {
	return Scenario{
		Nodes: 80, Engines: 100, Model: smallEngine, Length: 11 * time.Second,
		NewsEvery: 225 * time.Millisecond, Hubs: true, Copies: true, Seed: seed,
		Classes: []Class{
			{Name: letter, Rank: 1, PerSecond: 206, Objective: 600 * time.Millisecond, MaxPause: 500 * time.Millisecond, Patience: 5 * time.Second,
				OwnTokens: 2900, AnswerTokens: 50, Spread: 0.9, Sessions: 940, SharedTokens: 3780, Common: 4, CommonTokens: 2520},
			{Name: question, Rank: 0, PerSecond: 138, Objective: 300 * time.Millisecond, MaxPause: 300 * time.Millisecond, Patience: 5 * time.Second,
				OwnTokens: 630, AnswerTokens: 290, Spread: 0.7, Sessions: 1880, SharedTokens: 80, Common: 80, CommonTokens: 120},
		},
		Bursts: []Burst{{letter, 500 * time.Millisecond, 9 * time.Second, 1.6}},
	}
}

// Where each of many nodes takes the replica that looks idlest of all, all requests of a
// third of a second go to the same few. Those that look at a few drawn ones spread them.
func TestManyNodesSpreadWhatTheyPlaceAtOnce(t *testing.T) {
	t.Parallel()
	few := Play(manyNodes(1))
	s := manyNodes(1)
	s.SeeAll = true
	all := Play(s)
	t.Logf("few: questions %s, busiest %.2f", few.Classes[question], few.Busiest)
	t.Logf("all: questions %s, busiest %.2f", all.Classes[question], all.Busiest)
	if got, without := few.Classes[question].OnTimeShare(), all.Classes[question].OnTimeShare(); got < without+0.05 {
		t.Errorf("%.3f of the questions are on time, %.3f where all replicas are looked at", got, without)
	}
	if few.Busiest > all.Busiest-0.1 {
		t.Errorf("the busiest replica gets %.2f of the mean, %.2f where all are looked at", few.Busiest, all.Busiest)
	}
	if got, without := few.Classes[letter].OnTimeShare(), all.Classes[letter].OnTimeShare(); got < without-0.01 {
		t.Errorf("%.3f of the letters are on time, %.3f where all replicas are looked at", got, without)
	}
}
