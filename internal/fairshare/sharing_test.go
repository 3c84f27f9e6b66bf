package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

const engine = "engine"

func newTestSharing() *Sharing {
	return New(Options{Window: 2 * time.Second, MinShare: 0.1, StartedAt: start.Add(-time.Minute)})
}

// load has the workspaces ask for the costs per second, for ten seconds. Of each, the given part is
// started.
func load(s *Sharing, costs map[string]float64, started func(workspace string, i int) bool) (end time.Time) {
	const perSecond = 10
	for i := range 10 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		for workspace, cost := range costs {
			s.Observe(now, Call{Upstream: engine, Workspace: workspace, Cost: cost / perSecond, QueuePart: 0.5, Refused: !started(workspace, i)})
		}
		end = now
	}
	return end
}

func TestFairLevelIsMaxMin(t *testing.T) {
	for capacity, want := range map[float64]float64{24: 10, 4: 1, 2: 0.5, 0: 0, 144: math.Inf(1), 143: 89} {
		if got := fairLevel([]float64{50, 1, 90, 3}, capacity); math.Abs(got-want) > 1e-9 && got != want {
			t.Errorf("capacity %v: level %v, want %v", capacity, got, want)
		}
	}
}

// Half of the calls of a large workspace are refused: it is above its share, and no other is, however
// small.
func TestOnlyTheLargeWorkspaceIsAboveItsShare(t *testing.T) {
	s := newTestSharing()
	now := load(s, map[string]float64{"large": 9000, "a": 1000, "b": 1000, "tiny": 3},
		func(workspace string, i int) bool { return workspace != "large" || i%2 == 0 })
	large := s.Standing(now, engine, "large")
	if !large.Above || large.Share < 0.95 {
		t.Errorf("the large workspace, which gets all that the others leave: %+v", large)
	}
	for _, other := range []string{"a", "b", "tiny", "new", ""} {
		if got := s.Standing(now, engine, other); got != within {
			t.Errorf("workspace %q: %+v", other, got)
		}
	}
}

// A workspace that takes from others is refused down to min_share of the allowed queue time.
func TestShareIsTheFairPartOfTheUse(t *testing.T) {
	s := newTestSharing()
	now := load(s, map[string]float64{"large": 9000, "a": 3000, "b": 3000},
		func(workspace string, i int) bool { return workspace == "large" || i%3 == 0 })
	// 11,000 are started in a second: 3,000 each for a and b, and 5,000 for the large one.
	if got := s.Standing(now, engine, "large").Share; math.Abs(got-5.0/9) > 0.03 {
		t.Errorf("share %.3f, want 5/9", got)
	}
	s.options.MinShare = 0.8
	if got := s.Standing(now.Add(divisionMaxAge), engine, "large").Share; got != 0.8 {
		t.Errorf("share %.3f, want the least share of 0.8", got)
	}
}

// While there is room nobody is above its share: no queue, or all that is asked for is started.
func TestNobodyIsAboveItsShareWhileThereIsRoom(t *testing.T) {
	s := newTestSharing()
	now := load(s, map[string]float64{"large": 9000, "a": 100}, func(string, int) bool { return true })
	if got := s.Standing(now, engine, "large"); got != within {
		t.Errorf("all calls are started: %+v", got)
	}
	s = newTestSharing()
	now = load(s, map[string]float64{"large": 9000, "a": 100}, func(_ string, i int) bool { return i%2 == 0 })
	if got := s.Standing(now, engine, "large"); !got.Above {
		t.Errorf("half of the calls are refused: %+v", got)
	}
	if got := s.Standing(now.Add(shortTime), engine, "large"); got != within {
		t.Errorf("no call found a queue for %s: %+v", shortTime, got)
	}
}

// 75 nodes see a call of a small workspace every few seconds each. Rounding must not put it above its
// share, and its own use must count.
func TestSmallWorkspaceIsNotStarvedAtManyNodes(t *testing.T) {
	s := newTestSharing()
	now := load(s, map[string]float64{"large": 900}, func(_ string, i int) bool { return i%2 == 0 })
	fleet := Sums{engine: {Workspaces: map[ID]Cost{IDOf("large"): {Asked: 135_000, Started: 70_000}}}}
	for i := range 23 {
		fleet[engine].Workspaces[IDOf(fmt.Sprint(i))] = Cost{Asked: 4_000, Started: 3_900}
	}
	fleet[engine].Workspaces[IDOf("small")] = Cost{Asked: 300, Started: 290}
	s.SetFleet(fleet, s.OwnUse(now), now)
	s.Observe(now, Call{Upstream: engine, Workspace: "small", Cost: 3000, QueuePart: 0.5})
	now = now.Add(divisionMaxAge)
	if got := s.Standing(now, engine, "small"); got != within {
		t.Errorf("a workspace with 0.002 of the use: %+v", got)
	}
	if got := s.Standing(now, engine, "large"); !got.Above {
		t.Errorf("the large workspace: %+v", got)
	}
}

func TestSumsAreBounded(t *testing.T) {
	s := newTestSharing()
	for i := range 3 * maxAccounts {
		s.Observe(start, Call{Upstream: engine, Workspace: fmt.Sprint(i), Cost: float64(i + 1)})
	}
	use := s.OwnUse(start)[engine]
	if len(use.Workspaces) != MaxWorkspaces || use.Workspaces[IDOf(fmt.Sprint(maxAccounts-1))].Asked != maxAccounts {
		t.Errorf("%d workspaces are told, want the %d largest", len(use.Workspaces), MaxWorkspaces)
	}
	if total, want := use.total().Asked, float64(maxAccounts*(maxAccounts+1)/2); total != want {
		t.Errorf("the total is %v, want %v", total, want)
	}
	if later := s.OwnUse(start.Add(time.Minute)); len(later) > 0 {
		t.Errorf("use a minute later: %v", later)
	}
}

// Guards against lines for every division, and against a change that is never reported as over.
func TestChangesAreReportedOnce(t *testing.T) {
	s := newTestSharing()
	var changes []Change
	s.options.OnChange = func(c Change) { changes = append(changes, c) }
	now := load(s, map[string]float64{"large": 9000, "a": 100}, func(_ string, i int) bool { return i%2 == 0 })
	for range 5 {
		s.Standing(now, engine, "a")
		now = now.Add(divisionMaxAge)
	}
	s.Standing(now.Add(shortTime), engine, "a")
	if len(changes) != 2 || changes[0].Workspace != "large" || !changes[0].Above || changes[1].Above {
		t.Errorf("changes %+v, want the large workspace above its share and back within it", changes)
	}
}

func BenchmarkAdmission(b *testing.B) {
	s := newTestSharing()
	fleet := Sums{engine: {Workspaces: make(map[ID]Cost)}}
	for i := range MaxWorkspaces {
		fleet[engine].Workspaces[IDOf(fmt.Sprint(i))] = Cost{Asked: float64(1000 * i), Started: 20_000}
	}
	s.SetFleet(fleet, nil, start)
	names := make([]string, MaxWorkspaces)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		// 1,000 calls a second, of which some divide anew.
		now := start.Add(time.Duration(i) * time.Millisecond)
		if i%500 == 0 {
			s.SetFleet(fleet, nil, now)
		}
		s.Standing(now, engine, names[i%len(names)])
		s.Observe(now, Call{Upstream: engine, Workspace: names[i%len(names)], Cost: 3000, QueuePart: 0.5, Refused: i%4 == 0})
	}
}

// Stale reports: after their expiry a node divides by its own sums only. A restarted node, and a fleet that
// restarts as a whole, finds nobody above its share for one window.
func TestStaleReportsAndRestart(t *testing.T) {
	s := newTestSharing()
	now := load(s, map[string]float64{"here": 1000, "a": 500}, func(workspace string, i int) bool { return workspace == "a" || i%3 > 0 })
	others := Sums{engine: {Workspaces: map[ID]Cost{IDOf("a"): {Asked: 50_000, Started: 20_000}}}}
	s.SetFleet(others, nil, now)
	if here, a := s.Standing(now, engine, "here"), s.Standing(now, engine, "a"); here.Above || !a.Above {
		t.Errorf("with the fleet's sums: here %+v, a %+v", here, a)
	}
	now = now.Add(reportTTL + time.Millisecond)
	s.Observe(now, Call{Upstream: engine, Workspace: "here", Cost: 1, QueuePart: 0.5})
	if here, a := s.Standing(now, engine, "here"), s.Standing(now, engine, "a"); !here.Above || a.Above {
		t.Errorf("with own sums only: here %+v, a %+v", here, a)
	}
	s.options.StartedAt = now.Add(-s.options.Window + time.Millisecond)
	if got := s.Standing(now, engine, "here"); got != within {
		t.Errorf("within a window of the start: %+v", got)
	}
}
