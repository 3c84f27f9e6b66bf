package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

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

// BenchmarkChooseZones measures a choice among the replicas of three zones. The bound for 160 is 15 us.
func BenchmarkChooseZones(b *testing.B) {
	for _, replicas := range []int{160, 3000} {
		for _, on := range []bool{false, true} {
			b.Run(fmt.Sprintf("replicas=%d/on=%t", replicas, on), func(b *testing.B) {
				set := replica.NewSet()
				listing := replica.Listing{Revision: 1}
				for i := range replicas {
					listing.Replicas = append(listing.Replicas, replica.Replica{ID: fmt.Sprintf("i-%010d", i), Upstream: "u", AvailabilityZone: fmt.Sprintf("z%d", i%3), Slots: 32})
				}
				set.Update(listing, 1, 1)
				p, now := NewPlacer("z0", set, rand.New(rand.NewPCG(1, 1))), time.Unix(1000, 0)
				if on {
					p.SetZoneTraffic(&ZoneTraffic{Policy: zonetraffic.Policy{RequestsPerGigabyte: 1000, MaxShare: 1}, RoundTrips: &zonetraffic.RoundTrips{}})
				}
				for i := range b.N {
					now = now.Add(time.Millisecond)
					p.Choose(now, "u", sharedRequest(uint64(i%500))).End(now, Answered)
				}
			})
		}
	}
}
