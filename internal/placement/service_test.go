package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"galenatrestle/internal/replica"
)

// newService returns a placer for three replicas of a plain service, of six slots each, in three availability
// zones.
func newService(zone string, seed uint64) *Placer {
	set := replica.NewSet()
	l := replica.Listing{Revision: 1}
	for i, id := range []string{"a", "b", "c"} {
		l.Replicas = append(l.Replicas, replica.Replica{ID: id, Upstream: "u", Address: id, AvailabilityZone: zones[i], Slots: 6})
	}
	set.Update(l, 1, 1)
	p := NewPlacer(zone, set, rand.New(rand.NewPCG(seed, 1)))
	p.SetServiceAdmission(ServiceAdmission{ShortQueue: 2})
	return p
}

var zones = []string{"z0", "z1", "z2"}

// runningCall is a call of playService.
type runningCall struct {
	attempt *Attempt
	end     time.Time
}

// playService has 75 nodes send 95 calls a second for 10 s. They learn each other's loads 300 ms late. Replica a
// runs six calls at a time and answers within slow, the others within 30 ms. It returns how many calls a got
// after the first second, and how many were not answered within 1.5 s.
func playService(slow time.Duration) (got, lost int) {
	var nodes []*Placer
	for i := range 75 {
		nodes = append(nodes, newService(zones[i%3], uint64(i)))
	}
	random := rand.New(rand.NewPCG(1, 2))
	var calls []runningCall
	busyUntil := make([]time.Time, 6)
	var sums []Load
	own := make([][]Load, len(nodes))
	for step := range 10_000 {
		now := start.Add(time.Duration(step) * time.Millisecond)
		calls = endCalls(calls, now, &lost)
		if step%300 == 0 {
			var total map[string]Load
			for i, n := range nodes {
				n.SetFleetLoads(sums, own[i], now)
				own[i] = n.Loads(now)
				total = SumLoads(total, own[i])
			}
			sums = sumsToList(total)
		}
		if step*95/1000 == (step+1)*95/1000 {
			continue
		}
		c := runningCall{nodes[random.IntN(len(nodes))].Choose(now, "u", &Request{Class: "look-up"}), now.Add(30 * time.Millisecond)}
		if c.attempt.Replica.ID == "a" {
			slices.SortFunc(busyUntil, time.Time.Compare)
			c.end = now
			if busyUntil[0].After(now) {
				c.end = busyUntil[0]
			}
			c.end = c.end.Add(slow)
			busyUntil[0] = c.end
			if step >= 1000 {
				got++
			}
		}
		calls = append(calls, c)
	}
	return got, lost
}

// endCalls ends the calls that are answered or have waited for 1.5 s, and returns the others.
func endCalls(calls []runningCall, now time.Time, lost *int) []runningCall {
	return slices.DeleteFunc(calls, func(c runningCall) bool {
		switch {
		case now.Sub(c.attempt.startedAt) >= 1500*time.Millisecond:
			*lost++
			c.attempt.End(now, Cancelled)
		case !c.end.After(now):
			c.attempt.End(now, Answered)
		default:
			return false
		}
		return true
	})
}

// Guards against a slow or hanging replica that holds a third of the calls of a plain service: the other nodes'
// loads come late, and a node of 75 rarely sees that a replica is slow.
func TestSlowReplicaOfAPlainServiceGetsFewCalls(t *testing.T) {
	for name, test := range map[string]struct {
		slow      time.Duration
		got, lost int
	}{
		"hanging":          {10 * time.Second, 50, 60},
		"ten times slower": {300 * time.Millisecond, 75, 5},
	} {
		got, lost := playService(test.slow)
		t.Logf("%s: it got %d of 855 calls, %d were not answered", name, got, lost)
		if got > test.got || lost > test.lost {
			t.Errorf("%s: it got %d of 855 calls, %d were not answered, want at most %d and %d", name, got, lost, test.got, test.lost)
		}
	}
}

// Guards against calls of a plain service that have no expected queue time, so that none is refused.
func TestQueueOfAPlainServiceCountsTheCallsOfAllNodes(t *testing.T) {
	p := newService("z0", 1)
	p.upstream("u").syncReplicas(p.replicas.ForUpstream("u"))
	for _, test := range []struct {
		perReplica int
		queue      time.Duration
	}{{5, 0}, {8, 15 * time.Millisecond}, {24, 95 * time.Millisecond}} {
		var loads []Load
		for _, id := range []string{"a", "b", "c"} {
			loads = append(loads, Load{Replica: id, Running: test.perReplica})
		}
		p.SetPeerLoads("other", loads, false, 1, start)
		a := p.Choose(start, "u", &Request{})
		if got := a.Choice.FirstTokenTime - a.Choice.OwnPrefill; got != test.queue {
			t.Errorf("%d calls at each replica: queue time %s, want %s", test.perReplica, got, test.queue)
		}
		a.End(start, Cancelled)
	}
}

// Guards against a replica that stays without calls after it has become fast again.
func TestServiceTimeOfAReplicaReturnsToTheUpstreamsMean(t *testing.T) {
	var s serviceTime
	for range 20 {
		s.observe(start, 300)
	}
	if got := s.estimate(start, 30); got < 200 {
		t.Errorf("estimate %.0f ms after 20 observations of 300 ms", got)
	}
	if got := s.estimate(start.Add(20*time.Second), 30); got > 35 {
		t.Errorf("estimate %.0f ms after 20 s, want that of the upstream, 30 ms", got)
	}
}

func BenchmarkChooseService(b *testing.B) {
	p := newService("z0", 1)
	b.ReportAllocs()
	for b.Loop() {
		p.Choose(start, "u", &Request{}).End(start, Cancelled)
	}
}
