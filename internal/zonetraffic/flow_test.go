package zonetraffic

import (
	"math"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// play steps the flow for a while with the same input and returns its time and all changes.
func play(f *Flow, from time.Time, lasting time.Duration, maxShare float64, in Input) (time.Time, []Change) {
	var changes []Change
	for end := from.Add(lasting); from.Before(end); from = from.Add(stepEvery) {
		now := in
		now.Away = append([]Zone(nil), in.Away...)
		changes = append(changes, f.Step(from, maxShare, &now)...)
	}
	return from, changes
}

func twoZones(homeMS, awayMS float64) Input {
	return Input{
		Home: Zone{Name: "a", Replicas: 5, WaitMS: homeMS, FreeSlots: 0.5},
		Away: []Zone{{Name: "b", Replicas: 5, WaitMS: awayMS, FreeSlots: 0.5, LeaveMS: 30}},
	}
}

// Guards against a part that ignores what leaving costs, the room of the other zone, the age of the
// loads, or the operator's bounds.
func TestPartFollowsTheMarginalCosts(t *testing.T) {
	stale, full, forbidden := twoZones(200, 5), twoZones(200, 5), twoZones(200, 5)
	stale.Age = MaxInputAge + time.Millisecond
	full.Away[0].FreeSlots = reservedSlots
	forbidden.Away[0].LeaveMS = math.Inf(1)
	for name, c := range map[string]struct {
		in       Input
		maxShare float64
		want     float64
	}{
		"home costs more":             {twoZones(200, 5), 1, 1},
		"not by more than leaving":    {twoZones(35, 5), 1, 0},
		"both wait":                   {twoZones(900, 700), 1, 0},
		"loads are too old":           {stale, 1, 0},
		"the other zone has no slots": {full, 1, 0},
		"forbidden":                   {forbidden, 1, 0},
		"capped":                      {twoZones(200, 5), 0.25, 0.25},
	} {
		var f Flow
		play(&f, start, 5*time.Second, c.maxShare, c.in)
		if got := f.Share("b"); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %v may leave, want %v", name, got, c.want)
		}
	}
}

// Guards against requests that are held at home when it can serve no more, or that leave although
// nothing is known of the others.
func TestStaleLoadsHoldRequestsUnlessHomeIsFull(t *testing.T) {
	for wait, want := range map[float64]float64{100: closedMS, fullWaitMS: stayMS} {
		in := twoZones(wait, 5)
		in.Age = 2 * time.Second
		var f Flow
		f.Step(start, 1, &in)
		if got := f.HoldMS("b", 0); got != want {
			t.Errorf("wait %v: leaving costs %v more, want %v", wait, got, want)
		}
	}
}

// Guards against a part that falls as soon as what left has emptied home, and against one that never
// falls.
func TestPartFallsLateAndSlowly(t *testing.T) {
	var f Flow
	now, _ := play(&f, start, 3*time.Second, 1, twoZones(200, 5))
	now, _ = play(&f, now, time.Second, 1, twoZones(10, 5))
	if f.Share("b") < 1 {
		t.Errorf("the part is %v a second after home has become cheaper", f.Share("b"))
	}
	_, changes := play(&f, now, 15*time.Second, 1, twoZones(10, 5))
	if f.Share("b") != 0 {
		t.Errorf("the part is still %v after 15 s", f.Share("b"))
	}
	if len(changes) < 3 || len(changes) > 8 || changes[0].Reason != AwayCostsMore {
		t.Errorf("%d lines, want one for each fifth: %+v", len(changes), changes)
	}
}

// Guards against a fault of a link that looks like a distance, and against a guess that stays after
// the times are known.
func TestRoundTripsAreLearnedAndBounded(t *testing.T) {
	var trips RoundTrips
	if got := trips.ExtraMS("a", "b"); got != DefaultRoundTripMS {
		t.Errorf("%v ms before anything is known", got)
	}
	for range 50 {
		trips.Observe("a", time.Millisecond)
		trips.Observe("b", 9*time.Millisecond)
		trips.Observe("c", time.Minute)
	}
	if got := trips.ExtraMS("a", "b"); math.Abs(got-8) > 0.01 {
		t.Errorf("%v ms, want 8", got)
	}
	if got := trips.ExtraMS("a", "c"); got > maxRoundTripMS {
		t.Errorf("%v ms over a faulty link", got)
	}
	if got := trips.ExtraMS("b", "a"); got != 0 {
		t.Errorf("%v ms to a nearer zone", got)
	}
}
