package fleetsim

import (
	"sync"
	"testing"
	"time"
)

const (
	longPrompt = "long prompt"
	chat       = "chat"
	// others is the number of workspaces with their usual traffic; one more has nine times that.
	others = 23
)

// largeWorkspace is a fleet at a load, as a multiple of its capacity, of which one workspace of 24 sends
// nine times its usual. The capacity is the highest load at which 0.99 of the calls are on time.
func largeWorkspace(seed uint64, nodes, engines int, load float64) Scenario {
	perEngine := load * float64(engines) * (others + 1) / (others + 9)
	s := Scenario{
		Nodes: nodes, Engines: engines, Length: 36 * time.Second, NewsEvery: 225 * time.Millisecond, Hubs: true, Copies: true, Seed: seed,
		Model: EngineModel{TokensPerMS: 44.2, Chunk: 2048, StepMS: 3.4, PerRequestMS: 0.05, Slots: 64, MemoryTokens: 366_000, TokensPerEvent: 6},
		Classes: []Class{
			{Name: longPrompt, Rank: 1, PerSecond: 15 * perEngine, Objective: 2500 * time.Millisecond, MaxPause: 2 * time.Second, Patience: 12 * time.Second,
				OwnTokens: 1700, AnswerTokens: 54, Spread: 0.5},
			{Name: chat, Rank: 0, PerSecond: 7.5 * perEngine, Objective: time.Second, MaxPause: time.Second, Patience: 12 * time.Second,
				OwnTokens: 826, AnswerTokens: 100, Spread: 0.5},
		},
		FairAdmission: true,
	}
	for range others {
		s.Workspaces = append(s.Workspaces, Workspace{Weight: 1, Times: 1})
	}
	s.Workspaces = append(s.Workspaces, Workspace{Weight: 1, Times: 9})
	return s
}

// playWorkspaces adds up the calls of each workspace over the seeds.
func playWorkspaces(scenario func(seed uint64) Scenario, seeds int, change func(*Scenario)) []Tally {
	sums := make([]Tally, others+1)
	for seed := range uint64(seeds) {
		s := scenario(seed)
		change(&s)
		for i, tally := range Play(s).Workspaces {
			sums[i].Add(&tally)
		}
	}
	return sums
}

// served is the part of the calls that were answered whole before their deadline.
func (t *Tally) served() float64 { return float64(t.OnTime+t.Late) / float64(max(t.Asked, 1)) }

// compareShares plays the scenario without the large workspace, and with it without and with sharing.
func compareShares(t testing.TB, scenario func(seed uint64) Scenario, seeds int) {
	var alone, unshared, shared []Tally
	var plays sync.WaitGroup
	plays.Go(func() { alone = playWorkspaces(scenario, seeds, func(s *Scenario) { s.Workspaces[others].Times = 0 }) })
	plays.Go(func() { unshared = playWorkspaces(scenario, seeds, func(s *Scenario) { s.FairAdmission = false }) })
	plays.Go(func() { shared = playWorkspaces(scenario, seeds, func(*Scenario) {}) })
	plays.Wait()
	sum := func(tallies []Tally) (all Tally) {
		for i := range tallies {
			all.Add(&tallies[i])
		}
		return all
	}
	for name, tallies := range map[string][]Tally{"alone": alone, "unshared": unshared, "shared": shared} {
		all, small := sum(tallies), sum(tallies[:others])
		t.Logf("%s: all %s; others on time %.3f, served %.3f; the large one on time %.3f, served %.3f",
			name, &all, small.OnTimeShare(), small.served(), tallies[others].OnTimeShare(), tallies[others].served())
	}
	worst, worstOnTime, worstUnshared := 0.0, 0.0, 0.0
	for i := range others {
		worst = max(worst, alone[i].served()-shared[i].served())
		worstOnTime = max(worstOnTime, alone[i].OnTimeShare()-shared[i].OnTimeShare())
		worstUnshared = max(worstUnshared, alone[i].OnTimeShare()-unshared[i].OnTimeShare())
	}
	t.Logf("worst workspace: %.3f less served, %.3f less on time; unshared %.3f less on time", worst, worstOnTime, worstUnshared)
	if worst > 0.03 {
		t.Errorf("a workspace is served by %.3f less than without the large one", worst)
	}
	if worstOnTime > worstUnshared/2 {
		t.Errorf("a workspace is on time by %.3f less than without the large one, %.3f without sharing", worstOnTime, worstUnshared)
	}
	if all, before := sum(shared), sum(unshared); all.OnTime < before.OnTime {
		t.Errorf("%d calls are on time, %d without sharing", all.OnTime, before.OnTime)
	}
}

// One workspace that sends nine times its usual must not take the capacity of the others.
func TestOthersAreServedAsIfTheLargeWorkspaceWereNotThere(t *testing.T) {
	t.Parallel()
	compareShares(t, func(seed uint64) Scenario { return largeWorkspace(seed, 20, 16, 1.3) }, 2)
}

// While there is room for all, sharing changes nothing, however unequal the workspaces are.
func TestSharingChangesNothingWhileThereIsRoom(t *testing.T) {
	t.Parallel()
	with, without := largeWorkspace(1, 20, 16, 0.7), largeWorkspace(1, 20, 16, 0.7)
	without.FairAdmission = false
	shared, unshared := Play(with), Play(without)
	for i := range shared.Workspaces {
		if shared.Workspaces[i] != unshared.Workspaces[i] {
			t.Errorf("workspace %d: %s with sharing, %s without", i, &shared.Workspaces[i], &unshared.Workspaces[i])
		}
	}
}

// BenchmarkLargeWorkspace plays the full size by hand: 75 nodes, 60 engines, 20 seeds.
func BenchmarkLargeWorkspace(b *testing.B) {
	for b.Loop() {
		compareShares(b, func(seed uint64) Scenario { return largeWorkspace(seed, 75, 60, 1.3) }, 20)
	}
}
