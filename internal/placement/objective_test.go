package placement

import (
	"testing"
	"time"
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
