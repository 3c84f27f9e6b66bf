package autoscale

import (
	"testing"

	"galenatrestle/internal/route"
)

func scaling(price float64) *route.Scaling {
	return &route.Scaling{Min: 1, Max: 60, ReclaimablePrice: price, ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}}
}

func TestReclaimableReplicasCoverLossOfAnyZone(t *testing.T) {
	s := scaling(0.2)
	mix := wantedMix(60, s, s.Zones(), nil)
	for _, lost := range s.Zones() {
		left := 0
		for zone, kinds := range mix {
			left += kinds[OnDemand]
			if zone != lost {
				left += kinds[Reclaimable]
			}
		}
		if left < 60 {
			t.Errorf("%d replicas are left without the reclaimable ones of %s, want 60", left, lost)
		}
	}
}

func TestSmallDiscountUsesOnDemandOnly(t *testing.T) {
	s := scaling(0.9)
	for zone, kinds := range wantedMix(60, s, s.Zones(), nil) {
		if kinds[Reclaimable] != 0 || kinds[OnDemand] != 20 {
			t.Errorf("zone %s: %v, want 20 on demand", zone, kinds)
		}
	}
}

func TestOtherZonesReplaceExhaustedZone(t *testing.T) {
	s := scaling(0.2)
	mix := wantedMix(60, s, s.Zones(), map[string]bool{"b": true})
	if replicas, ordered := mix["b"][Reclaimable]; ordered {
		t.Errorf("%d replicas are ordered in an exhausted zone", replicas)
	}
	if got := mix["a"][Reclaimable] + mix["c"][Reclaimable]; got < 58 {
		t.Errorf("%d reclaimable replicas in the other zones, want at least 58", got)
	}
}

func TestZoneLimitsAreRespected(t *testing.T) {
	s := scaling(0.2)
	for _, capacity := range []float64{0, 1, 500} {
		for zone, kinds := range wantedMix(capacity, s, s.Zones(), nil) {
			if all := kinds[OnDemand] + kinds[Reclaimable]; all < s.Min || all > s.Max {
				t.Errorf("capacity %v: %d replicas in %s, bounds %d and %d", capacity, all, zone, s.Min, s.Max)
			}
		}
	}
}

func TestSingleZoneUsesOnDemandOnly(t *testing.T) {
	s := &route.Scaling{Min: 1, Max: 60, ReclaimablePrice: 0.1, ZonePrices: map[string]float64{"a": 1}}
	if mix := wantedMix(10, s, s.Zones(), nil); mix["a"][OnDemand] != 10 || mix["a"][Reclaimable] != 0 {
		t.Errorf("%v, want 10 on demand", mix)
	}
}
