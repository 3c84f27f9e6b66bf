package fleetsim

import (
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/placement"
)

// unevenModel is the mean engine of a fleet whose engines differ in speed.
var unevenModel = EngineModel{
	TokensPerMS: 44, Chunk: 4096, StepMS: 3.4, PerRequestMS: 0.05, Slots: 64, MemoryTokens: 366_000, TokensPerEvent: 6,
}

// uneven is a fleet of 24 nodes and 20 engines with hubs, long prompts and chats.
func uneven(seed uint64) Scenario {
	return Scenario{
		Nodes: 24, Engines: 20, Model: unevenModel, Length: 20 * time.Second,
		NewsEvery: 225 * time.Millisecond, Hubs: true, Copies: true, Seed: seed,
		Classes: []Class{
			{Name: letter, Rank: 1, PerSecond: 47, Objective: 600 * time.Millisecond, MaxPause: 300 * time.Millisecond, Patience: 5 * time.Second,
				OwnTokens: 2890, AnswerTokens: 54, Spread: 0.6, Sessions: 200, SharedTokens: 3780, Common: 4, CommonTokens: 2520},
			{Name: question, Rank: 0, PerSecond: 55, Objective: 250 * time.Millisecond, MaxPause: 200 * time.Millisecond, Patience: 10 * time.Second,
				OwnTokens: 628, AnswerTokens: 294, Spread: 0.6, Sessions: 400, SharedTokens: 80, Common: 20, CommonTokens: 118},
		},
		Speeds: Speeds{Noise: Noise{Every: 600 * time.Millisecond, Fraction: 0.15, Times: 2.5}, Heard: true},
	}
}

// learned are the options of nodes that learn speeds.
var learned = &placement.ReplicaSpeeds{HalfLife: 2 * time.Second}

// playUneven adds up the reports of the seeds, played at once.
func playUneven(t *testing.T, change func(*Scenario)) (onTime, slowed float64) {
	t.Helper()
	unevenSeeds := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	sum := &Report{Classes: map[string]*Tally{letter: {}, question: {}}}
	var mu sync.Mutex
	var plays sync.WaitGroup
	for _, seed := range unevenSeeds {
		s := uneven(seed)
		change(&s)
		plays.Go(func() {
			r := Play(s)
			mu.Lock()
			defer mu.Unlock()
			sum.SlowedShare += r.SlowedShare / float64(len(unevenSeeds))
			for name, tally := range r.Classes {
				sum.Classes[name].Add(tally)
			}
		})
	}
	plays.Wait()
	t.Logf("on time %.4f (%.3f, %.3f), slowed engines keep %.3f", sum.OnTimeShare(),
		sum.Classes[letter].OnTimeShare(), sum.Classes[question].OnTimeShare(), sum.SlowedShare)
	return sum.OnTimeShare(), sum.SlowedShare
}

// Guards against costs that take all replicas for equally fast: slow ones got as much work as fast
// ones, and their requests were late.
func TestEnginesOfUnlikeSpeedServeLikeEqualOnes(t *testing.T) {
	t.Parallel()
	equal, _ := playUneven(t, func(s *Scenario) { s.Speeds.Learned = learned })
	for name, speeds := range map[string][]float64{
		"0.6 to 1.6":        {0.6, 1.6, 0.8, 1.0},
		"one in four slow":  {0.55, 1.15, 1.15, 1.15},
		"one in three fast": {0.9, 0.9, 1.2},
	} {
		t.Run(name, func(t *testing.T) {
			unknown, _ := playUneven(t, func(s *Scenario) { s.Speeds.InTurn = speeds })
			got, _ := playUneven(t, func(s *Scenario) { s.Speeds.InTurn, s.Speeds.Learned = speeds, learned })
			if got < equal-0.03 {
				t.Errorf("%.3f are on time, %.3f on engines of equal speed", got, equal)
			}
			if name == "0.6 to 1.6" && unknown > equal-0.035 {
				t.Errorf("%.3f are on time without the speeds: the load is no test", unknown)
			}
		})
	}
}

// Guards against a replica that keeps its work although it has become five times slower.
func TestAnEngineThatTurnsSlowLosesItsNewWorkWithinASecond(t *testing.T) {
	t.Parallel()
	slowed := func(s *Scenario) {
		s.Speeds.Slowdowns = []Slowdown{{At: 8 * time.Second, For: 6 * time.Second, Engines: 2, Times: 5}}
	}
	_, without := playUneven(t, slowed)
	_, got := playUneven(t, func(s *Scenario) {
		slowed(s)
		s.Speeds.Learned = learned
	})
	if got > 0.1 {
		t.Errorf("slowed engines keep %.3f of their new work", got)
	}
	if without < 0.3 {
		t.Errorf("slowed engines keep %.3f without the speeds: the load is no test", without)
	}
}
