package autoscale

import (
	"math"

	"galenatrestle/internal/route"
)

// Mix is the wanted number of replicas by availability zone and kind. If a kind is missing,
// the zone keeps its current number.
type Mix map[string]map[Kind]int

// wantedMix returns the cheapest mix that still has the capacity, in replicas, after any one
// zone loses all its reclaimable replicas. Exhausted zones keep the reclaimable replicas
// that they have, and the other zones take over their share.
func wantedMix(capacity float64, s *route.Scaling, zones []string, exhausted map[string]bool) Mix {
	mix := cheapestMix(capacity, s, zones, exhausted)
	for zone := range exhausted {
		delete(mix[zone], Reclaimable)
	}
	return mix
}

// cheapestMix returns the mix with the lowest price. Reclaimable replicas are spread over the
// zones that are not exhausted.
func cheapestMix(capacity float64, s *route.Scaling, zones []string, exhausted map[string]bool) Mix {
	if s.ReclaimablePrice <= 0 || len(zones) == 1 {
		return onDemandMix(capacity, s, zones)
	}
	var available []string
	for _, zone := range zones {
		if !exhausted[zone] {
			available = append(available, zone)
		}
	}
	// Size each zone so that the others can carry the capacity if one is lost. If a zone is
	// already exhausted, the remaining ones carry its share.
	survivingZones := max(min(len(zones)-1, len(available)), 1)
	perZone := bounded(max(capacity/float64(survivingZones), capacity*spareRatio(s)/float64(len(zones))), s)
	if reclaimablePrice(perZone, s, available) >= onDemandPrice(capacity, s, zones) || len(available) == 0 {
		return onDemandMix(capacity, s, zones)
	}
	mix := make(Mix)
	for _, zone := range zones {
		mix[zone] = map[Kind]int{OnDemand: s.Min, Reclaimable: max(perZone-s.Min, 0)}
	}
	return mix
}

// spareRatio returns how many reclaimable replicas to run per on-demand one. Waiting time
// falls roughly as 1/n and cost grows as n times the relative price, so their sum is
// smallest at the inverse square root of that price.
func spareRatio(s *route.Scaling) float64 { return 1 / math.Sqrt(s.ReclaimablePrice) }

// onDemandMix spreads the capacity evenly over the zones, to limit the loss if one fails.
func onDemandMix(capacity float64, s *route.Scaling, zones []string) Mix {
	mix := make(Mix)
	for _, zone := range zones {
		mix[zone] = map[Kind]int{OnDemand: bounded(capacity/float64(len(zones)), s), Reclaimable: 0}
	}
	return mix
}

// bounded rounds the number of replicas up and clamps it to the limits of one zone.
func bounded(replicas float64, s *route.Scaling) int {
	return min(max(int(math.Ceil(replicas)), s.Min), s.Max)
}

func reclaimablePrice(each int, s *route.Scaling, zones []string) float64 {
	price := 0.0
	for _, zone := range zones {
		price += float64(each) * s.ReclaimablePrice * s.Price(zone)
	}
	return price
}

func onDemandPrice(capacity float64, s *route.Scaling, zones []string) float64 {
	price := 0.0
	for _, zone := range zones {
		price += float64(bounded(capacity/float64(len(zones)), s)) * s.Price(zone)
	}
	return price
}
