package placement

import (
	"slices"
	"testing"
	"time"

	"galenatrestle/internal/replicaspeed"
)

// staysHome places a session, then reports backlogs of the home replica and of all others, and
// returns whether the next request of the session stays home.
func staysHome(t *testing.T, missCost time.Duration, homeBacklog, otherBacklog int) bool {
	t.Helper()
	p, set := newFleet(12, 1)
	if missCost > 0 {
		p.SetObjectivePlacement(missCost)
	}
	request := func() *Request {
		r := long(100)
		r.CanCopyCache, r.Objective, r.MaxPause = true, 600*time.Millisecond, 300*time.Millisecond
		return r
	}
	home := p.Choose(start, "u", request())
	home.AnswerStarted(start)
	home.End(start, Answered)
	var loads []Load
	for _, r := range set.ForUpstream("u") {
		load := Load{Replica: r.ID, Running: 4, PrefillBacklog: PrefillBacklog{otherBacklog}}
		if r.ID == home.Replica.ID {
			load.PrefillBacklog = PrefillBacklog{homeBacklog}
		}
		loads = append(loads, load)
	}
	p.SetPeerLoads("other", loads, false, 1, start)
	return p.Choose(start, "u", request()).Replica.ID == home.Replica.ID
}

// Guards against sessions that queue at their replica for longer than their objective while others
// are idle, and against sessions that scatter over the fleet when all replicas are late.
func TestSessionMovesIfOnlyItsReplicaIsLate(t *testing.T) {
	const idle, late, overloaded = 1000, 50_000, 90_000
	for name, test := range map[string]struct {
		missCost    time.Duration
		home, other int
		stays       bool
	}{
		"without the part":     {0, late, idle, true},
		"home late":            {3 * time.Second, late, idle, false},
		"home idle":            {3 * time.Second, idle, idle, true},
		"all late":             {3 * time.Second, overloaded, overloaded, true},
		"home a little behind": {3 * time.Second, 6000, idle, true},
	} {
		t.Run(name, func(t *testing.T) {
			if stays := staysHome(t, test.missCost, test.home, test.other); stays != test.stays {
				t.Errorf("session stayed at its replica: %v, want %v", stays, test.stays)
			}
		})
	}
}

// Guards against a session that stays at two replicas after the burst for which it got the second.
func TestSecondHomeEndsWithTheBurst(t *testing.T) {
	p, set := newFleet(12, 1)
	p.SetObjectivePlacement(3 * time.Second)
	place := func(now time.Time, homeBacklog int, home string) string {
		var loads []Load
		for _, r := range set.ForUpstream("u") {
			if load := (Load{Replica: r.ID, Running: 1}); r.ID == home {
				load.PrefillBacklog = PrefillBacklog{homeBacklog}
				loads = append(loads, load)
			}
		}
		p.SetPeerLoads("other", loads, false, 1, now)
		r := long(100)
		r.CanCopyCache, r.Objective, r.MaxPause = true, 600*time.Millisecond, 300*time.Millisecond
		a := p.Choose(now, "u", r)
		a.AnswerStarted(now)
		a.End(now, Answered)
		return a.Replica.ID
	}
	home := place(start, 0, "")
	if second := place(start.Add(100*time.Millisecond), 50_000, home); second == home {
		t.Error("the session has no second replica in the burst")
	}
	for i := range 20 {
		if id := place(start.Add(time.Duration(i+2)*100*time.Millisecond), 0, home); id != home {
			t.Errorf("request %d after the burst was placed on %s, want %s", i, id, home)
		}
	}
}

// Guards against choices that change although the section is missing, or although the requests
// have neither an objective nor a longest pause.
func TestChoicesWithoutObjectivesAreAsBefore(t *testing.T) {
	chosen := func(missCost, objective, maxPause time.Duration) (ids []string) {
		p, _ := newFleet(12, 1)
		p.SetObjectivePlacement(missCost)
		for i := range 300 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			r := short()
			if i%3 == 0 {
				r = long(uint64(100 + i%40))
			}
			r.Objective, r.MaxPause = objective, maxPause
			a := p.Choose(now, "u", r)
			a.AnswerStarted(now)
			a.DataReceived(now.Add(5 * time.Millisecond))
			if i%2 == 0 {
				a.End(now.Add(9*time.Millisecond), Answered)
			}
			ids = append(ids, a.Replica.ID)
		}
		return ids
	}
	before := chosen(0, 0, 0)
	if !slices.Equal(chosen(0, 100*time.Millisecond, 50*time.Millisecond), before) {
		t.Error("choices differ by the requests' objectives although the section is missing")
	}
	if !slices.Equal(chosen(3*time.Second, 0, 0), before) {
		t.Error("choices of requests without objectives differ by the section")
	}
	if slices.Equal(chosen(3*time.Second, 100*time.Millisecond, 50*time.Millisecond), before) {
		t.Error("choices do not differ by objectives although the section is there")
	}
}

// Guards against trust in loads that no hub or node has updated: a replica that looked busy
// seconds ago must no longer be avoided as if it were.
func TestStaleLoadsCountLess(t *testing.T) {
	if s := staleness(start, time.Time{}); s != 0 {
		t.Errorf("staleness %.2f of a node without others, want 0", s)
	}
	late := func(expected float64, age time.Duration) float64 {
		return exceedProbability(expected, 600, staleness(start.Add(age), start))
	}
	if late(600, 0) != 0.5 {
		t.Errorf("probability %.2f of a time that is expected at the objective, want 0.5", late(600, 0))
	}
	if fresh, stale := late(1800, 300*time.Millisecond), late(1800, 2*time.Second); stale > fresh-0.1 {
		t.Errorf("probability %.2f with loads of 2 s, %.2f with current ones, want less", stale, fresh)
	}
	if fresh, stale := late(200, 300*time.Millisecond), late(200, 2*time.Second); stale < fresh+0.1 {
		t.Errorf("probability %.2f with loads of 2 s, %.2f with current ones, want more", stale, fresh)
	}
}

// Guards against prompts that are prefilled beside streams that pause for too long then, and
// against a short side that disregards how many prompts arrive there.
func TestPausesFollowFromPromptsThatArrive(t *testing.T) {
	m := newPauseModel()
	if m.shortTarget() != 0 {
		t.Error("pauses bound the requests per replica although no allowed pause is known")
	}
	m.learnMaxPause(200 * time.Millisecond)
	usual := m.shortTarget()
	for range 300 {
		m.learnAnswer(true, 826, 650*time.Millisecond, 44)
	}
	if busy := m.shortTarget(); busy > usual-4 || busy < minShortPerReplica {
		t.Errorf("%.1f requests per replica while answers take 650 ms, %.1f while they take 1.5 s, want fewer", busy, usual)
	}
	for range 2000 {
		m.learnEvent(12*time.Millisecond, 0, 0)
		m.learnEvent(300*time.Millisecond, 3000, 0)
	}
	if m.eventMS < 11 || m.eventMS > 13 {
		t.Errorf("%.1f ms between events without prefill, want about 12", m.eventMS)
	}
}

// Guards against long prompts among running streams with short prompts while other replicas have
// none.
func TestLongPromptAvoidsStreamsItWouldStall(t *testing.T) {
	p, set := newFleet(12, 1)
	p.SetObjectivePlacement(3 * time.Second)
	for range 200 {
		r := short()
		r.Objective, r.MaxPause = 250*time.Millisecond, 200*time.Millisecond
		p.Choose(start, "u", r).End(start, Answered)
	}
	var loads []Load
	quiet := set.ForUpstream("u")[7].ID
	for _, r := range set.ForUpstream("u") {
		load := Load{Replica: r.ID, Running: 6, RunningShort: 6}
		if r.ID == quiet {
			load.RunningShort = 0
		}
		loads = append(loads, load)
	}
	p.SetPeerLoads("other", loads, false, 1, start)
	for i := range 10 {
		r := long(0)
		r.Shared = nil
		r.Objective, r.MaxPause = 600*time.Millisecond, 300*time.Millisecond
		a := p.Choose(start, "u", r)
		if a.Replica.ID != quiet {
			t.Errorf("prompt %d was placed on %s beside running streams, want %s", i, a.Replica.ID, quiet)
		}
		a.End(start, Cancelled)
	}
}

// Guards against nodes with different sides: fast replicas come first, and replicas of one grade
// keep the order of their hashes whatever the grades were before.
func TestSidesAreOrderedBySpeedGrade(t *testing.T) {
	p, set := newFleet(12, 1)
	p.SetObjectivePlacement(3 * time.Second)
	p.Choose(start, "u", short()).End(start, Cancelled)
	u := p.upstream("u")
	byHash := availableReplicas(set.ForUpstream("u"))
	u.available[9].grade, u.available[4].grade = replicaspeed.FastGrade, replicaspeed.SlowGrade
	slices.Reverse(u.available)
	u.sortAvailable()
	if u.available[0].replica.ID != byHash[9].ID || u.available[11].replica.ID != byHash[4].ID {
		t.Errorf("first %s and last %s, want the fast and the slow replica", u.available[0].replica.ID, u.available[11].replica.ID)
	}
	for i, s := range u.available[2:11] {
		if previous := u.available[i+1]; s.hashOrder < previous.hashOrder {
			t.Errorf("%s comes after %s, want the order of the hashes", s.replica.ID, previous.replica.ID)
		}
	}
}
