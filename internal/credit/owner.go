package credit

import (
	"math"
	"time"
)

// Owner leases the slots of the replicas that this node owns. It does no I/O and
// is not safe for concurrent use.
type Owner struct {
	settings Settings
	replicas map[string]*replicaLeases
}

// replicaLeases has the leases of one replica.
type replicaLeases struct {
	// createdAt is when the owner received the first ask for the replica.
	createdAt time.Time
	leases    map[string]lease
}

// lease is the number of slots granted to one node, with its last ask.
type lease struct {
	ask     Ask
	slots   int
	askedAt time.Time
	expires time.Time
}

// held returns the number of slots that the node may be using: those granted, or
// more if a smaller grant left some still in use.
func (l lease) held() int { return max(l.slots, l.ask.Used) }

// unmet returns the number of slots that the node needs beyond those it holds.
// It is 0 for an old ask, since slots kept free for it would stay idle.
func (l lease) unmet(now time.Time) int {
	if !l.ask.Waiting || now.Sub(l.askedAt) > unmetNeedTTL {
		return 0
	}
	return max(l.ask.Want-l.held(), 0)
}

// unmetNeedTTL is how long after an ask slots are kept free for its unmet need.
const unmetNeedTTL = 2 * time.Second

// NewOwner returns an owner without leases.
func NewOwner(settings Settings) *Owner {
	return &Owner{settings: settings.withDefaults(), replicas: make(map[string]*replicaLeases)}
}

// Handle records a node's asks and returns one grant for each, in order. nodes is
// the number of serving members.
func (o *Owner) Handle(now time.Time, node string, nodes int, asks []Ask) []Grant {
	grants := make([]Grant, len(asks))
	for i, ask := range asks {
		grants[i] = o.handle(now, node, nodes, ask)
	}
	return grants
}

func (o *Owner) handle(now time.Time, node string, nodes int, ask Ask) Grant {
	b := o.leasesOf(now, ask.Replica)
	if b == nil {
		return Grant{Replica: ask.Replica, Slots: FairPart(ask.Limit, nodes), For: o.settings.LeaseTime}
	}
	b.expire(now)
	slots := b.allot(now, node, ask, o.settings.LowShare)
	if now.Sub(b.createdAt) < o.settings.Renew {
		// Nodes that have not sent an ask yet may hold slots leased by the
		// previous owner.
		slots = min(slots, max(ask.Used, FairPart(ask.Limit, nodes)))
	}
	b.leases[node] = lease{ask: ask, slots: slots, askedAt: now, expires: now.Add(o.settings.LeaseTime)}
	return Grant{Replica: ask.Replica, Slots: slots, For: o.settings.LeaseTime}
}

// Release removes all leases of a node, for example when it has left.
func (o *Owner) Release(node string) {
	for _, b := range o.replicas {
		delete(b.leases, node)
	}
}

// Sweep removes expired leases, and replicas without leases.
func (o *Owner) Sweep(now time.Time) {
	for name, b := range o.replicas {
		if b.expire(now); len(b.leases) == 0 {
			delete(o.replicas, name)
		}
	}
}

func (o *Owner) leasesOf(now time.Time, replica string) *replicaLeases {
	if b, ok := o.replicas[replica]; ok {
		return b
	}
	if len(o.replicas) >= maxReplicas {
		return nil
	}
	b := &replicaLeases{createdAt: now, leases: make(map[string]lease)}
	o.replicas[replica] = b
	return b
}

func (b *replicaLeases) expire(now time.Time) {
	for node, l := range b.leases {
		if !now.Before(l.expires) {
			delete(b.leases, node)
		}
	}
}

// allot returns the number of slots for an ask, limited by the slots that other
// nodes hold and by the unmet needs of those with priority over it.
func (b *replicaLeases) allot(now time.Time, node string, ask Ask, lowShare float64) int {
	rest := b.sumPeers(now, node, ask)
	free := max(ask.Limit-rest.held, 0)
	// Slots beyond the urgent need are available. Less urgent nodes together
	// also keep lowShare of the limit, so that they are not starved.
	urgent := max(rest.urgent-rest.releasing, 0)
	left := max(free-urgent, 0)
	if urgent > 0 {
		low := int(math.Ceil(lowShare*float64(ask.Limit))) - rest.lowHeld
		left = max(left, min(free, low))
	}
	slots := min(ask.Want, left)
	spare := max(free-slots-rest.unmet, 0)
	return slots + min(ask.Extra, spare)
}

// peerTotals sums the leases of the other nodes, in relation to one ask.
type peerTotals struct {
	// held is the number of slots held; lowHeld is the part of it held by nodes
	// without priority over the ask.
	held, lowHeld int
	// unmet is the unmet need of all other nodes; urgent is the part of it from
	// nodes with priority over the ask.
	urgent, unmet int
	// releasing is the number of slots held beyond those granted, which become free
	// as requests end.
	releasing int
}

func (b *replicaLeases) sumPeers(now time.Time, node string, ask Ask) peerTotals {
	var sum peerTotals
	for name, l := range b.leases {
		if name == node {
			continue
		}
		sum.held += l.held()
		sum.unmet += l.unmet(now)
		sum.releasing += l.held() - l.slots
		if l.ask.before(ask) {
			sum.urgent += l.unmet(now)
		} else {
			sum.lowHeld += l.held()
		}
	}
	return sum
}

// FairPart returns a node's equal part of a limit, at least 1. It applies when
// there is no grant from the owner.
func FairPart(limit, nodes int) int { return max(limit/max(nodes, 1), 1) }
