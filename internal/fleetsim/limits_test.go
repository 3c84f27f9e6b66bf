package fleetsim

import (
	"testing"
	"time"
)

// steadyLoad is a load at which a fleet of engines is half busy.
func steadyLoad(seed uint64) Scenario {
	return Scenario{
		Nodes: 7, Engines: 18, Length: 30 * time.Second, NewsEvery: 225 * time.Millisecond, Copies: true, Seed: seed,
		Model: EngineModel{TokensPerMS: 52, Chunk: 2048, StepMS: 4.7, PerRequestMS: 0.03, Slots: 32, MemoryTokens: 290_000, TokensPerEvent: 5},
		Classes: []Class{
			{Name: letter, Rank: 1, PerSecond: 24, Objective: 600 * time.Millisecond, MaxPause: 300 * time.Millisecond, Patience: 5 * time.Second,
				OwnTokens: 2900, AnswerTokens: 50, Spread: 0.9, Sessions: 180, SharedTokens: 3780, Common: 4, CommonTokens: 2520},
			{Name: question, Rank: 0, PerSecond: 33, Objective: 300 * time.Millisecond, MaxPause: 200 * time.Millisecond, Patience: 15 * time.Second,
				OwnTokens: 630, AnswerTokens: 290, Spread: 0.7, Sessions: 550, SharedTokens: 80, Common: 20, CommonTokens: 120},
		},
	}
}

// limitedLoad is steadyLoad with engines that name a third of what they get.
func limitedLoad(t *testing.T, engines int) *Report {
	t.Helper()
	return play(t, steadyLoad, func(s *Scenario) {
		s.RateLimits = []RateLimit{{At: 8 * time.Second, Engines: engines, PerSecond: 1.5}}
	})
}

func TestEnginesThatNameRatesCostLittleWhereTheOthersHaveRoom(t *testing.T) {
	t.Parallel()
	free := play(t, steadyLoad, nil).OnTimeShare()
	for engines, cost := range map[int]float64{2: 0.01, 9: 0.03} {
		if got := limitedLoad(t, engines).OnTimeShare(); got < free-cost {
			t.Errorf("%.3f are on time where %d engines name rates, %.3f where none does", got, engines, free)
		}
	}
}

// Where all engines name rates, what is beyond them is refused and nothing else is lost.
func TestWhatIsBeyondTheRatesOfAllEnginesIsRefused(t *testing.T) {
	t.Parallel()
	r := limitedLoad(t, 18)
	var all Tally
	for _, tally := range r.Classes {
		all.Add(tally)
	}
	if all.Failed > 0 || all.Refused == 0 || all.OnTime < all.Asked/2 {
		t.Errorf("all calls: %s", &all)
	}
}
