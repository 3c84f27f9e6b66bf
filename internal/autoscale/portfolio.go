package autoscale

import (
	"math"

	"galenatrestle/internal/route"
)

// Mix is how many replicas of each kind each availability zone should have. Of a kind
// that is missing a zone keeps what it has.
type Mix map[string]map[Kind]int

// portfolio is the cheapest mix that has the capacity, in replicas, also when all
// reclaimable ones of any one zone are taken away. Zones in dry have no reclaimable ones
// to give at the moment: they keep those that they have, and the others take their part.
func portfolio(capacity float64, s *route.Scaling, zones []string, dry map[string]bool) Mix {
	mix := cheapest(capacity, s, zones, dry)
	for zone := range dry {
		delete(mix[zone], Reclaimable)
	}
	return mix
}

// cheapest is the mix of the least price, with reclaimable replicas from all zones that
// have any to give.
func cheapest(capacity float64, s *route.Scaling, zones []string, dry map[string]bool) Mix {
	if s.ReclaimablePrice <= 0 || len(zones) == 1 {
		return onDemand(capacity, s, zones)
	}
	var wet []string
	for _, zone := range zones {
		if !dry[zone] {
			wet = append(wet, zone)
		}
	}
	// Before any zone is lost each has its part of what remains without the largest;
	// where one is lost already the others take its part.
	spread := max(min(len(zones)-1, len(wet)), 1)
	each := bounded(max(capacity/float64(spread), capacity*spare(s)/float64(len(zones))), s)
	if reclaimablePrice(each, s, wet) >= onDemandPrice(capacity, s, zones) || len(wet) == 0 {
		return onDemand(capacity, s, zones)
	}
	mix := make(Mix)
	for _, zone := range zones {
		mix[zone] = map[Kind]int{OnDemand: s.Min, Reclaimable: max(each-s.Min, 0)}
	}
	return mix
}

// spare is how many reclaimable replicas are worth having for each on-demand one. Waiting
// falls about as the number of replicas grows, and their price grows with it: the sum of
// both is least where the number is the inverse root of the price.
func spare(s *route.Scaling) float64 { return 1 / math.Sqrt(s.ReclaimablePrice) }

// onDemand spreads the capacity evenly, so that a zone that fails is one part of it.
func onDemand(capacity float64, s *route.Scaling, zones []string) Mix {
	mix := make(Mix)
	for _, zone := range zones {
		mix[zone] = map[Kind]int{OnDemand: bounded(capacity/float64(len(zones)), s), Reclaimable: 0}
	}
	return mix
}

// bounded is the whole number of replicas within the bounds of one zone.
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
