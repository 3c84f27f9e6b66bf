package autoscale

import (
	"time"

	"galenatrestle/internal/boottime"
)

const (
	// effectLag is how long after a replica's boot its registration is known here.
	effectLag = 3 * time.Second
	// dryFor is how long a zone that had no replica to give is left alone.
	dryFor = 2 * time.Second
	// newsAge is the age of the news of the replicas up to which any are ordered away.
	newsAge = 3 * time.Second
)

// ordered is the last order of a pool.
type ordered struct {
	replicas int
	at       boottime.Instant
}

// Orders are what was ordered of each pool, and when it has to be ordered again. It is
// for one goroutine.
type Orders struct {
	last map[Pool]ordered
	// dryUntil is until when a pool is thought to have nothing to give.
	dryUntil map[Pool]boottime.Instant
}

// NewOrders returns a book without orders.
func NewOrders() *Orders {
	return &Orders{last: make(map[Pool]ordered), dryUntil: make(map[Pool]boottime.Instant)}
}

// Due are the orders that lead from what is observed to the mix. One is repeated where
// its effect does not show in time: it was lost, or a late one was carried out after it.
// Replicas are taken away only by fresh news, and on-demand ones only once the
// reclaimable ones that replace them serve.
func (b *Orders) Due(now boottime.Instant, o *Observation, mix Mix) []Order {
	var due []Order
	for _, zone := range o.Zones {
		for _, kind := range []Kind{Reclaimable, OnDemand} {
			pool := Pool{Upstream: o.Upstream, AvailabilityZone: zone.Name, Kind: kind}
			replicas, wanted := mix[zone.Name][kind]
			if !wanted {
				continue
			}
			want := Order{Pool: pool, Replicas: replicas}
			if b.settled(now, o, want, zone.Ready[kind]) {
				continue
			}
			if want.Replicas < zone.Ready[kind] && !mayShrink(o, mix, zone, kind) {
				continue
			}
			due = append(due, want)
		}
	}
	return due
}

// More are the orders of reclaimable replicas that add to what was ordered of them.
func (b *Orders) More(o *Observation, mix Mix) []Order {
	var more []Order
	for _, zone := range o.Zones {
		pool := Pool{Upstream: o.Upstream, AvailabilityZone: zone.Name, Kind: Reclaimable}
		want := Order{Pool: pool, Replicas: mix[zone.Name][Reclaimable]}
		if want.Replicas > max(b.last[pool].replicas, zone.Ready[Reclaimable]) {
			more = append(more, want)
		}
	}
	return more
}

// RecordSent notes that an order was sent. One that makes room for the other kind has that
// ordered again at once: its last order may have been cut to the bound of the zone.
func (b *Orders) RecordSent(now boottime.Instant, o Order, ready int) {
	b.last[o.Pool] = ordered{replicas: o.Replicas, at: now}
	if o.Kind == OnDemand && o.Replicas < ready {
		other := o.Pool
		other.Kind = Reclaimable
		delete(b.last, other)
	}
}

// settled says whether nothing is to be ordered: the pool is as wanted, or the last order
// may still show its effect.
func (b *Orders) settled(now boottime.Instant, o *Observation, want Order, ready int) bool {
	if want.Replicas == ready {
		_, once := b.last[want.Pool]
		return once || ready == 0
	}
	last, once := b.last[want.Pool]
	return once && last.replicas == want.Replicas && now.Sub(last.at) < o.Scaling.Boot+effectLag
}

// mayShrink says whether replicas of the zone's kind may be ordered away now.
func mayShrink(o *Observation, mix Mix, zone Zone, kind Kind) bool {
	if o.Age > newsAge {
		return false
	}
	if kind == Reclaimable {
		return true
	}
	// A zone that has no reclaimable ones to give keeps its on-demand ones.
	replacing, toBeHad := mix[zone.Name][Reclaimable]
	// Both kinds share a zone's bound: where it is reached, more reclaimable ones come
	// only when on-demand ones leave.
	room := o.Scaling.Max - zone.Ready[OnDemand]
	return toBeHad && zone.Ready[Reclaimable] >= min(replacing, room)
}

// RecordRefused notes that the pool has nothing to give.
func (b *Orders) RecordRefused(now boottime.Instant, o Order) {
	delete(b.last, o.Pool)
	b.dryUntil[o.Pool] = now.Add(dryFor)
}

// ExhaustedZones are the zones that have no reclaimable replicas of the upstream to give: that said
// so, or that take theirs away.
func (b *Orders) ExhaustedZones(now boottime.Instant, o *Observation) map[string]bool {
	dry := make(map[string]bool)
	for _, zone := range o.Zones {
		pool := Pool{Upstream: o.Upstream, AvailabilityZone: zone.Name, Kind: Reclaimable}
		if until, refused := b.dryUntil[pool]; refused && until > now {
			dry[zone.Name] = true
		}
	}
	return dry
}
