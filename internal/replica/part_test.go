package replica

import (
	"fmt"
	"testing"
)

// zonedListing returns a listing of n replicas of upstream "u" in each of the zones, and two of
// a small upstream.
func zonedListing(revision int64, n int, zones ...string) Listing {
	l := Listing{Revision: revision}
	for _, zone := range zones {
		for i := range n {
			l.Replicas = append(l.Replicas, Replica{ID: fmt.Sprintf("%s-%d", zone, i), Upstream: "u", Address: "x", AvailabilityZone: zone})
		}
	}
	for i := range 2 {
		l.Replicas = append(l.Replicas, Replica{ID: fmt.Sprintf("small-%d", i), Upstream: "small", Address: "x", AvailabilityZone: zones[0]})
	}
	return l
}

func countZones(l Listing) map[string]int {
	counts := make(map[string]int)
	for _, r := range l.Replicas {
		counts[r.Upstream+"/"+r.AvailabilityZone]++
	}
	return counts
}

// TestPartDoesNotGrowWithFleet guards against members whose memory grows with the number of
// replicas.
func TestPartDoesNotGrowWithFleet(t *testing.T) {
	for _, n := range []int{400, 2000, 4000} {
		part := zonedListing(1, n, "a", "b", "c").Part("a", nil)
		counts := countZones(part)
		if part.Zone != "a" || counts["u/a"] != MinPartSize || counts["u/b"] != MinPartSize || counts["small/a"] != 2 {
			t.Errorf("%d replicas a zone: part of zone %q has %v", n, part.Zone, counts)
		}
	}
}

func TestSmallListingIsKeptWhole(t *testing.T) {
	whole := zonedListing(1, 100, "a", "b")
	if part := whole.Part("a", nil); part.Zone != "" || len(part.Replicas) != len(whole.Replicas) {
		t.Errorf("part of zone %q has %d of %d replicas", part.Zone, len(part.Replicas), len(whole.Replicas))
	}
}

// TestLargerPartContainsSmallerOne guards against replacing the replicas in use, with their
// caches, when the demand grows.
func TestLargerPartContainsSmallerOne(t *testing.T) {
	whole := zonedListing(1, 1000, "a", "b")
	larger := make(map[string]bool)
	for _, r := range whole.Part("a", PartSizes{"u": 2 * MinPartSize}).Replicas {
		larger[r.ID] = true
	}
	smaller := whole.Part("a", nil).Replicas
	for _, r := range smaller {
		if !larger[r.ID] {
			t.Errorf("%s is only in the smaller part", r.ID)
		}
	}
	if len(larger) <= len(smaller) {
		t.Errorf("part of twice the size has %d replicas, the smaller one %d", len(larger), len(smaller))
	}
}

// TestDrainingReplicasAreReplacedInPart guards against a part whose available replicas shrink
// while many replicas leave, and against losing sight of one that is leaving.
func TestDrainingReplicasAreReplacedInPart(t *testing.T) {
	whole := zonedListing(1, 1000, "a")
	before := whole.Part("a", nil)
	leaving := before.Replicas[len(before.Replicas)-1].ID
	for i := range whole.Replicas {
		whole.Replicas[i].Draining = whole.Replicas[i].ID == leaving
	}
	available, found := 0, false
	for _, r := range whole.Part("a", nil).Replicas {
		if r.Upstream == "u" && !r.Draining {
			available++
		}
		found = found || r.ID == leaving && r.Draining
	}
	if available != MinPartSize || !found {
		t.Errorf("%d available replicas in the part, draining replica listed: %v", available, found)
	}
}

// TestPartSpreadsByDeltas checks that a node with a part follows one with the whole listing
// through changes of replicas and of part sizes.
func TestPartSpreadsByDeltas(t *testing.T) {
	source, member := NewSet(), NewSet()
	whole := zonedListing(1, 1000, "a", "b")
	source.Update(whole, at(0), at(0))
	first, _ := source.ListingFor("a")
	member.Update(first, at(0), at(0))
	for step := range 40 {
		whole.Revision++
		whole.Replicas = append([]Replica(nil), whole.Replicas...)
		whole.Replicas[step*7%1000].Draining = true
		if step == 20 {
			source.SetPartSizes(PartSizes{"u": 3 * MinPartSize})
		}
		source.Update(whole, at(step*100), at(step*100))
		want, ok := source.ListingFor("a")
		own, _ := member.Latest()
		if !ok || own.Digest == want.Digest {
			continue
		}
		delta, known := source.DeltaFor("a", own.Digest)
		if !known {
			t.Fatalf("step %d: no delta from the member's part", step)
		}
		got := Listing{Revision: want.Revision, Zone: "a", Replicas: delta.Apply(own.Replicas)}
		member.Update(got, at(step*100), at(step*100))
		if latest, _ := member.Latest(); latest.Digest != want.Digest {
			t.Fatalf("step %d: part has digest %x, want %x", step, latest.Digest, want.Digest)
		}
	}
	if _, ok := member.ListingFor("b"); ok {
		t.Error("a set with the part of zone a returned that of zone b")
	}
	if _, ok := member.ListingFor(""); ok {
		t.Error("a set with a part returned a whole listing")
	}
}

// TestPartsOfAllZonesHaveSameReplicas guards against reading a prompt's common parts once in each
// availability zone that callers come from.
func TestPartsOfAllZonesHaveSameReplicas(t *testing.T) {
	whole := zonedListing(1, 1000, "a", "b", "c")
	if a, b := whole.Part("a", nil), whole.Part("b", nil); a.Digest != b.Digest {
		t.Error("the parts of two zones have different replicas")
	}
}
