package autoscale

import (
	"time"

	"galenatrestle/internal/boottime"
)

const (
	// registrationDelay is the delay between a replica's boot and its registration being
	// visible to this node.
	registrationDelay = 3 * time.Second
	// exhaustedBackoff is how long no order is sent to a pool after it refused one for lack
	// of capacity.
	exhaustedBackoff = 2 * time.Second
	// maxObservationAge is the maximum age of an observation that may cause replicas to be
	// removed.
	maxObservationAge = 3 * time.Second
)

// lastOrder is the last order sent for a pool.
type lastOrder struct {
	replicas int
	at       boottime.Instant
}

// Orders records the last order of each pool and decides when to send the next one. It is
// not safe for concurrent use.
type Orders struct {
	last map[Pool]lastOrder
	// exhaustedUntil is the time until which a pool is assumed to have no capacity.
	exhaustedUntil map[Pool]boottime.Instant
}

// NewOrders returns an Orders with no recorded orders.
func NewOrders() *Orders {
	return &Orders{last: make(map[Pool]lastOrder), exhaustedUntil: make(map[Pool]boottime.Instant)}
}

// Due returns the orders that move the observed replicas towards the mix. An order is
// repeated if its effect is not visible in time, as it may have been lost or overwritten by
// a delayed one. Replicas are removed only on a recent observation, and on-demand ones only
// once the reclaimable ones that replace them are ready.
func (orders *Orders) Due(now boottime.Instant, o *Observation, mix Mix) []Order {
	var due []Order
	for _, zone := range o.Zones {
		for _, kind := range []Kind{Reclaimable, OnDemand} {
			pool := Pool{Upstream: o.Upstream, AvailabilityZone: zone.Name, Kind: kind}
			replicas, wanted := mix[zone.Name][kind]
			if !wanted {
				continue
			}
			want := Order{Pool: pool, Replicas: replicas}
			if orders.settled(now, o, want, zone.Ready[kind]) {
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

// More returns the orders for reclaimable replicas above the number already ordered or
// ready.
func (orders *Orders) More(o *Observation, mix Mix) []Order {
	var more []Order
	for _, zone := range o.Zones {
		pool := Pool{Upstream: o.Upstream, AvailabilityZone: zone.Name, Kind: Reclaimable}
		want := Order{Pool: pool, Replicas: mix[zone.Name][Reclaimable]}
		if want.Replicas > max(orders.last[pool].replicas, zone.Ready[Reclaimable]) {
			more = append(more, want)
		}
	}
	return more
}

// RecordSent records that an order was sent. If it removes on-demand replicas, the last
// reclaimable order is forgotten so that it is repeated at once: the platform may have
// capped it at the maximum of the zone.
func (orders *Orders) RecordSent(now boottime.Instant, o Order, ready int) {
	orders.last[o.Pool] = lastOrder{replicas: o.Replicas, at: now}
	if o.Kind == OnDemand && o.Replicas < ready {
		other := o.Pool
		other.Kind = Reclaimable
		delete(orders.last, other)
	}
}

// settled reports whether no order is needed. A pool of the wanted size is settled if it is
// empty or was ordered before, any other while an order for the wanted size may still
// take effect.
func (orders *Orders) settled(now boottime.Instant, o *Observation, want Order, ready int) bool {
	if want.Replicas == ready {
		_, sent := orders.last[want.Pool]
		return sent || ready == 0
	}
	last, sent := orders.last[want.Pool]
	return sent && last.replicas == want.Replicas && now.Sub(last.at) < o.Scaling.Boot+registrationDelay
}

// mayShrink reports whether replicas of the kind may be removed from the zone now.
func mayShrink(o *Observation, mix Mix, zone Zone, kind Kind) bool {
	if o.Age > maxObservationAge {
		return false
	}
	if kind == Reclaimable {
		return true
	}
	// The mix has no reclaimable entry for an exhausted zone: it keeps its on-demand replicas.
	replacing, available := mix[zone.Name][Reclaimable]
	// Both kinds share the maximum of the zone. Once it is reached, more reclaimable
	// replicas can start only when on-demand ones are removed.
	room := o.Scaling.Max - zone.Ready[OnDemand]
	return available && zone.Ready[Reclaimable] >= min(replacing, room)
}

// RecordRefused records that the pool has no capacity.
func (orders *Orders) RecordRefused(now boottime.Instant, o Order) {
	delete(orders.last, o.Pool)
	orders.exhaustedUntil[o.Pool] = now.Add(exhaustedBackoff)
}

// ExhaustedZones returns the zones that recently refused an order for reclaimable replicas
// of the upstream.
func (orders *Orders) ExhaustedZones(now boottime.Instant, o *Observation) map[string]bool {
	exhausted := make(map[string]bool)
	for _, zone := range o.Zones {
		pool := Pool{Upstream: o.Upstream, AvailabilityZone: zone.Name, Kind: Reclaimable}
		if until, refused := orders.exhaustedUntil[pool]; refused && until > now {
			exhausted[zone.Name] = true
		}
	}
	return exhausted
}
