package nodesync

import (
	"math"
	"time"

	"galenatrestle/internal/placement"
	"galenatrestle/internal/replica"
)

// The part of a large upstream that the nodes of an availability zone use follows the load on
// it. It is several times what the load occupies, so that the loss of a fraction of the part
// or a burst of requests finds free replicas before the part is resized. It grows at once, by
// doubling, and shrinks slowly: replicas that leave the part take their caches with them.
const (
	// shortPerReplica and otherPerReplica are the numbers of running requests that occupy a
	// replica: of those with short prompts, and of the others.
	shortPerReplica = 20.0
	otherPerReplica = 4.0
	// partMargin is the target size of a part, as a multiple of the occupied replicas.
	partMargin = 8.0
	// shrinkMargin is how far the target size must be below half of the part's size before
	// the part is halved.
	shrinkMargin = 0.7
	// demandHalfLife is the half-life of the highest observed demand.
	demandHalfLife = 30 * time.Second
)

// zoneDemand returns the number of replicas of the availability zone that the loads occupy, by
// upstream. used are the replicas that the zone's nodes use.
func zoneDemand(loads []placement.Load, used map[string]replica.Replica, zone string) map[string]float64 {
	demand := make(map[string]float64)
	for _, l := range loads {
		r := used[l.Replica]
		if r.AvailabilityZone == zone {
			demand[r.Upstream] += float64(l.RunningShort)/shortPerReplica + float64(l.Running-l.RunningShort)/otherPerReplica
		}
	}
	return demand
}

// partDemand follows the highest recent demand and determines the part sizes. It is not safe
// for concurrent use.
type partDemand struct {
	peak       map[string]float64
	observedAt time.Time
	sizes      replica.PartSizes
}

// observe returns the part sizes for a demand that is observed now. The result is shared and
// must not be modified.
func (p *partDemand) observe(now time.Time, demand map[string]float64) replica.PartSizes {
	if p.peak == nil {
		p.peak, p.sizes = make(map[string]float64), make(replica.PartSizes)
	}
	decay := math.Exp2(-now.Sub(p.observedAt).Seconds() / demandHalfLife.Seconds())
	p.observedAt = now
	for upstream := range demand {
		if _, known := p.peak[upstream]; !known {
			p.peak[upstream] = 0
		}
	}
	for upstream, peak := range p.peak {
		peak = max(peak*decay, demand[upstream])
		p.peak[upstream] = peak
		if size := nextPartSize(max(p.sizes[upstream], replica.MinPartSize), partMargin*peak); size > replica.MinPartSize {
			p.sizes[upstream] = size
		} else {
			delete(p.sizes, upstream)
		}
	}
	return p.sizes
}

// nextPartSize returns the size of a part that has the given size, for the target size.
func nextPartSize(size int, target float64) int {
	for float64(size) < target {
		size *= 2
	}
	for size > replica.MinPartSize && target < shrinkMargin*float64(size)/2 {
		size /= 2
	}
	return size
}
