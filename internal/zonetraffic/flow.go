package zonetraffic

import (
	"math"
	"time"
)

// Flow decides which part of a stream of like requests may leave its zone. It answers a zone that gets
// more than it can serve while others have room: nodes whose loads are 0.4 s old would otherwise all
// leave and all come back at once. It is not safe for concurrent use; the zero value lets nothing leave.
type Flow struct {
	parts     map[string]*part
	away      []Zone
	homeFull  bool
	stale     bool
	maxShare  float64
	steppedAt time.Time
	// waitMS are the averaged waits by zone.
	waitMS map[string]float64
}

// Change is a change of a part that is worth a log line.
type Change struct {
	To          string
	Share, From float64
	Reason      Reason
	HomeWaitMS  float64
	AwayWaitMS  float64
	LeaveMS     float64
	Room        float64
	Age         time.Duration
}

const (
	// minLoggedChange and minLogInterval bound the lines: a part that goes from 0 to 1 makes about five.
	minLoggedChange = 0.2
	minLogInterval  = 500 * time.Millisecond
)

// Due reports whether a step is due.
func (f *Flow) Due(now time.Time) bool { return now.Sub(f.steppedAt) >= stepEvery }

// Step adjusts the parts and returns the changes to log.
func (f *Flow) Step(now time.Time, maxShare float64, in *Input) []Change {
	elapsed := min(now.Sub(f.steppedAt), 2*stepEvery)
	f.averageWaits(now.Sub(f.steppedAt), in)
	f.steppedAt, f.maxShare = now, maxShare
	f.away = append(f.away[:0], in.Away...)
	f.homeFull, f.stale = in.Home.full(), in.Age > MaxInputAge
	previous := f.parts
	f.parts = make(map[string]*part, len(in.Away))
	var changes []Change
	for i := range in.Away {
		z := &in.Away[i]
		p := previous[z.Name]
		if p == nil {
			p = &part{}
		}
		f.parts[z.Name] = p
		reason := p.step(now, maxShare, in, z, elapsed)
		if p.logDue(now) {
			changes = append(changes, Change{
				To: z.Name, Share: p.share, From: p.logged, Reason: reason, HomeWaitMS: in.Home.WaitMS, AwayWaitMS: z.WaitMS,
				LeaveMS: z.LeaveMS, Room: p.room, Age: in.Age,
			})
			p.logged, p.loggedAt = p.share, now
		}
	}
	return changes
}

// averageWaits replaces the waits of the input by averages. A zone that was not known counts as it is.
func (f *Flow) averageWaits(elapsed time.Duration, in *Input) {
	weight := 1 - math.Exp(-elapsed.Seconds()/waitAveragingTime.Seconds())
	averages := make(map[string]float64, len(in.Away)+1)
	average := func(z *Zone) {
		if previous, known := f.waitMS[z.Name]; known {
			z.WaitMS = previous + weight*(z.WaitMS-previous)
		}
		averages[z.Name] = z.WaitMS
	}
	average(&in.Home)
	for i := range in.Away {
		average(&in.Away[i])
	}
	f.waitMS = averages
}

func (p *part) logDue(now time.Time) bool {
	ended := p.share == 0 && p.logged != 0
	return (ended || math.Abs(p.share-p.logged) >= minLoggedChange) && now.Sub(p.loggedAt) >= minLogInterval
}

// Share returns the part that may leave for the zone.
func (f *Flow) Share(zone string) float64 {
	if p := f.parts[zone]; p != nil {
		return p.share
	}
	return 0
}

// Room returns the part of its capacity that the zone has left.
func (f *Flow) Room(zone string) float64 {
	if p := f.parts[zone]; p != nil {
		return p.room
	}
	return 0
}

const (
	// stayMS is the additional cost of leaving for a request outside the part that may leave: it goes
	// only if the difference is larger than a flow of such requests would cause by itself.
	stayMS = 60.0
	// closedMS is the additional cost of a zone without room, or of any if the loads are too old: more
	// than the wait at which requests are refused, so that nothing leaves while home answers.
	closedMS = 5000.0
)

// Allows reports whether a request may leave for the zone. position is from 0 to 1, equal for requests that
// must stay together. The parts for all zones begin at position 0, so that no more than maxShare leaves.
func (f *Flow) Allows(zone string, position float64) bool { return position < f.Share(zone) }

// HoldMS returns the additional cost of leaving for the zone.
func (f *Flow) HoldMS(zone string, position float64) float64 {
	switch {
	case f.stale && !f.homeFull:
		return closedMS
	case f.stale:
		return stayMS
	case f.Room(zone) == 0:
		return closedMS
	case f.Allows(zone, position):
		return 0
	case f.maxShare < 1:
		return closedMS
	default:
		return stayMS
	}
}
