package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/replica"
	"galenatrestle/internal/zonetraffic"
)

// zonedPlacer returns a placer in zone z0 with zone traffic on, and 12 replicas in z0 to z2.
func zonedPlacer(policy zonetraffic.Policy) *Placer {
	set := replica.NewSet()
	listing := replica.Listing{Revision: 1}
	for i := range 12 {
		id := fmt.Sprintf("i-%02d", i)
		listing.Replicas = append(listing.Replicas, replica.Replica{ID: id, Address: id, Upstream: "u", AvailabilityZone: fmt.Sprintf("z%d", i%3), Slots: 32})
	}
	set.Update(listing, 1, 1)
	p := NewPlacer("z0", set, rand.New(rand.NewPCG(1, 1)))
	p.SetZoneTraffic(&ZoneTraffic{Policy: policy, RoundTrips: &zonetraffic.RoundTrips{}})
	return p
}

func sharedRequest(id uint64) *Request {
	return &Request{Class: "c", PromptTokens: 900, Bytes: 900, CanCopyCache: true, Shared: []PromptPart{{ID: id, Tokens: 700}}}
}

// Guards against homes of shared parts in other zones, which make every request with them leave.
func TestSharedPartsAreReadInTheNodesOwnZone(t *testing.T) {
	p, now := zonedPlacer(zonetraffic.Policy{RequestsPerGigabyte: 1000, MaxShare: 1}), time.Unix(1000, 0)
	for i := range uint64(100) {
		now = now.Add(20 * time.Millisecond)
		a := p.Choose(now, "u", sharedRequest(i))
		if a.Replica.AvailabilityZone != "z0" {
			t.Errorf("the parts of request %d are read in %s", i, a.Replica.AvailabilityZone)
		}
		a.End(now, Answered)
	}
}

// Guards against requests that are read again at home although another zone has their shared parts.
func TestARequestFollowsSharedPartsThatWereReadInAnotherZone(t *testing.T) {
	p, now := zonedPlacer(zonetraffic.Policy{RequestsPerGigabyte: 1000, MaxShare: 1}), time.Unix(1000, 0)
	p.Choose(now, "u", sharedRequest(1)).End(now, Cancelled)
	p.SetPlacements([]Placement{{Replica: "i-01", Parts: []uint64{77}}}, false, now)
	now = now.Add(2 * time.Second)
	if a := p.Choose(now, "u", sharedRequest(77)); a.Replica.ID != "i-01" {
		t.Errorf("went to %s, want i-01", a.Replica.ID)
	}
}

// Guards against traffic and copies between zones that the operator has forbidden, also when no other
// replica is left.
func TestNothingIsSentToAForbiddenZone(t *testing.T) {
	p, now := zonedPlacer(zonetraffic.Policy{MaxShare: 1, Forbidden: []zonetraffic.Pair{{From: "z0", To: "z1"}, {From: "z1", To: "z2"}}}), time.Unix(1000, 0)
	used := make(map[string]bool)
	for i := range uint64(300) {
		a := p.Choose(now, "u", sharedRequest(i))
		used[a.Replica.AvailabilityZone] = true
		r := sharedRequest(i)
		r.Avoid = []string{"i-00", "i-03", "i-06", "i-09"}
		used[p.Choose(now, "u", r).Replica.AvailabilityZone] = true
	}
	if used["z1"] || !used["z0"] || !used["z2"] {
		t.Errorf("used zones %v, want z0 and z2", used)
	}
	u := p.upstream("u")
	if v := u.zones; !v.forbidsCopy(u.states["i-01"], u.states["i-02"]) || v.forbidsCopy(u.states["i-02"], u.states["i-01"]) {
		t.Error("copies from z1 to z2 must be forbidden, and those from z2 to z1 allowed")
	}
}

// Guards against requests that have no usable replica at home and are held back all the same.
func TestRequestsLeaveAZoneWithoutUsableReplicas(t *testing.T) {
	p, now := zonedPlacer(zonetraffic.Policy{RequestsPerGigabyte: 1e6, MaxShare: 0}), time.Unix(1000, 0)
	p.Choose(now, "u", sharedRequest(1)).End(now, Cancelled)
	for _, s := range p.upstream("u").all {
		if s.replica.AvailabilityZone == "z0" {
			s.addFailure(now, penalties[Unreachable]*10)
		}
	}
	now = now.Add(200 * time.Millisecond)
	if a := p.Choose(now, "u", sharedRequest(2)); a.Replica.AvailabilityZone == "z0" {
		t.Error("stays in a zone whose replicas are all unreachable")
	}
}

// Guards against traffic that the operator pays for and no counter shows.
func TestWhatLeavesIsCountedByPairAndKind(t *testing.T) {
	p, now := zonedPlacer(zonetraffic.Policy{RequestsPerGigabyte: 1000, MaxShare: 1}), time.Unix(1000, 0)
	registry := prometheus.NewRegistry()
	p.zoneTraffic.Metrics = zonetraffic.NewMetrics(registry)
	p.Choose(now, "u", sharedRequest(1)).End(now, Answered)
	r := sharedRequest(2)
	r.Avoid = []string{"i-00", "i-03", "i-06", "i-09"}
	a := p.Choose(now, "u", r)
	a.CountAnswer(500)
	a.End(now, Interrupted)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]float64)
	for _, family := range families {
		for _, m := range family.GetMetric() {
			key := family.GetName()
			for _, l := range m.GetLabel() {
				key += " " + l.GetValue()
			}
			got[key] += m.GetCounter().GetValue()
		}
	}
	to := a.Replica.AvailabilityZone
	for key, want := range map[string]float64{
		"trestle_zone_requests_total z0 retry " + to: 1, "trestle_zone_bytes_total z0 prompt " + to: 900, "trestle_zone_bytes_total " + to + " answer z0": 500,
	} {
		// Labels are sorted by their names: from, kind or reason, to.
		if got[key] != want {
			t.Errorf("%s is %v, want %v; all: %v", key, got[key], want, got)
		}
	}
}

// BenchmarkChooseZones measures a choice at one of 75 nodes, which looks at a part of the replicas, and at
// a single node. The bound for 160 replicas is 15 us.
func BenchmarkChooseZones(b *testing.B) {
	for _, replicas := range []int{160, 3000} {
		for _, nodes := range []int{75, 1} {
			for _, on := range []bool{false, true} {
				b.Run(fmt.Sprintf("replicas=%d/nodes=%d/on=%t", replicas, nodes, on), func(b *testing.B) {
					benchZones(b, replicas, nodes, on)
				})
			}
		}
	}
}

func benchZones(b *testing.B, replicas, nodes int, on bool) {
	set := replica.NewSet()
	listing := replica.Listing{Revision: 1}
	var loads []Load
	for i := range replicas {
		r := replica.Replica{ID: fmt.Sprintf("i-%010d", i), Upstream: "u", AvailabilityZone: fmt.Sprintf("z%d", i%3), Slots: 32}
		listing.Replicas = append(listing.Replicas, r)
		loads = append(loads, Load{Replica: r.ID, Running: 10, RunningShort: 10, PrefillBacklog: PrefillBacklog{2000}})
	}
	set.Update(listing, 1, 1)
	p, now := NewPlacer("z0", set, rand.New(rand.NewPCG(1, 1))), time.Unix(1000, 0)
	if on {
		p.SetZoneTraffic(&ZoneTraffic{Policy: zonetraffic.Policy{RequestsPerGigabyte: 1000, MaxShare: 1}, RoundTrips: &zonetraffic.RoundTrips{}})
	}
	for i := range b.N {
		now = now.Add(5 * time.Millisecond)
		if nodes > 1 && i%50 == 0 {
			b.StopTimer()
			p.SetFleetLoads(loads, nil, now)
			b.StartTimer()
		}
		p.Choose(now, "u", sharedRequest(uint64(i%500))).End(now, Answered)
	}
}
