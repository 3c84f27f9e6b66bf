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

// load has the workspaces ask for the costs per second, for ten seconds, with the expected queue.
func load(s *Sharing, costs map[string]float64, queuePart float64) (end time.Time) {
	const perSecond = 10
	for i := range 10 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		for workspace, cost := range costs {
			s.Observe(now, Call{
				Upstream: engine, Workspace: workspace, Cost: cost / perSecond, QueuePart: queuePart,
				Above: s.Standing(now, engine, workspace).Above,
			})
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

// Where the queue is long for all, the large workspace is above its share, and no other is, however small.
func TestOnlyTheLargeWorkspaceIsAboveItsShare(t *testing.T) {
	s := newTestSharing()
	now := load(s, map[string]float64{"large": 9000, "a": 1000, "b": 1000, "tiny": 3}, 0.5)
	if large := s.Standing(now, engine, "large"); large != (Standing{Share: 0.1, Above: true}) {
		t.Errorf("the large workspace: %+v, want the least share", large)
	}
	for _, other := range []string{"a", "b", "tiny", "new", ""} {
		if got := s.Standing(now, engine, other); got != within {
			t.Errorf("workspace %q: %+v", other, got)
		}
	}
}

func TestShareIsTheFairPartOfTheUse(t *testing.T) {
	s := newTestSharing()
	fleet := Sums{engine: {Workspaces: map[ID]Cost{IDOf("large"): {Asked: 9000, Started: 9000}}}}
	for i := range 10 {
		// With the repeats of refused calls they ask for 2,000 and want 2,000/1.75.
		fleet[engine].Workspaces[IDOf(fmt.Sprint(i))] = Cost{Asked: 2000, Started: 500}
	}
	s.SetFleet(fleet, nil, start)
	want := (9000 + 10*500 - 10*2000/1.75) / 9000
	if got := s.Standing(start, engine, "large"); !got.Above || math.Abs(got.Share-want) > 1e-9 {
		t.Errorf("%+v, want a share of %.3f", got, want)
	}
	if got := s.Standing(start, engine, "3"); got != within {
		t.Errorf("a refused workspace: %+v", got)
	}
}

// While there is room nobody is above its share: with short queues and hardly any refusals. Guards against
// refusals and demotions of a large workspace that harms nobody.
func TestNobodyIsAboveItsShareWhileThereIsRoom(t *testing.T) {
	for queue, above := range map[float64]bool{0: false, roomPart: false, 0.3: true} {
		s := newTestSharing()
		now := load(s, map[string]float64{"large": 9000, "a": 3000, "b": 3000, "c": 3000}, queue)
		if got := s.Standing(now, engine, "large"); got.Above != above {
			t.Errorf("queue %v: %+v", queue, got)
		}
	}
}

// 75 nodes see a call of a small workspace every few seconds each. Rounding must not put it above its
// share, and its own use must count.
func TestSmallWorkspaceIsNotStarvedAtManyNodes(t *testing.T) {
	s := newTestSharing()
	now := load(s, map[string]float64{"large": 900}, 0.5)
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
	now := load(s, map[string]float64{"large": 9000, "a": 1000, "b": 1000, "c": 1000}, 0.5)
	for range 100 {
		s.Observe(now, Call{Upstream: engine, Workspace: "a", Cost: 10})
		s.Standing(now, engine, "a")
		now = now.Add(divisionMaxAge)
	}
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
	now := load(s, map[string]float64{"here": 3000, "a": 500, "b": 500, "c": 500}, 0.5)
	others := Sums{engine: {Workspaces: map[ID]Cost{IDOf("a"): {Asked: 80_000, Started: 80_000}}, Queue: Queue{Weight: 1e6}}}
	now = now.Add(divisionInterval)
	s.SetFleet(others, nil, now)
	if got := s.Standing(now, engine, "here"); got.Above {
		t.Errorf("with the fleet's sums, in which another one is large: %+v", got)
	}
	now = now.Add(reportTTL + time.Millisecond)
	if here, a := s.Standing(now, engine, "here"), s.Standing(now, engine, "a"); !here.Above || a.Above {
		t.Errorf("with own sums only: here %+v, a %+v", here, a)
	}
	s.options.StartedAt = now.Add(-s.options.Window + time.Millisecond)
	if got := s.Standing(now, engine, "here"); got != within {
		t.Errorf("within a window of the start: %+v", got)
	}
}
