package credit

import (
	"math"
	"time"
)

// Owner hands out the slots of the replicas that this node owns. It is pure
// and not safe for concurrent use.
type Owner struct {
	settings Settings
	replicas map[string]*book
}

// book is the owner's account of one replica.
type book struct {
	// opened is when the owner first heard of the replica.
	opened time.Time
	leases map[string]lease
}

// lease is what one node holds of one replica.
type lease struct {
	ask     Ask
	slots   int
	asked   time.Time
	expires time.Time
}

// held is what the node may have running: its slots, or more where slots were
// taken back that are still in use.
func (l lease) held() int { return max(l.slots, l.ask.Used) }

// missing is what the node waits for beyond what it holds. A need told long ago
// counts no more: slots kept for it would stand idle.
func (l lease) missing(now time.Time) int {
	if !l.ask.Waiting || now.Sub(l.asked) > needTime {
		return 0
	}
	return max(l.ask.Want-l.held(), 0)
}

// needTime is how long slots are kept free for a node that waits.
const needTime = 2 * time.Second

// NewOwner returns an owner that knows of no replica.
func NewOwner(settings Settings) *Owner {
	return &Owner{settings: settings.withDefaults(), replicas: make(map[string]*book)}
}

// Handle takes in a node's asks and returns the grants in their order. nodes is
// the number of serving members.
func (o *Owner) Handle(now time.Time, node string, nodes int, asks []Ask) []Grant {
	grants := make([]Grant, len(asks))
	for i, ask := range asks {
		grants[i] = o.handle(now, node, nodes, ask)
	}
	return grants
}

func (o *Owner) handle(now time.Time, node string, nodes int, ask Ask) Grant {
	b := o.book(now, ask.Replica)
	if b == nil {
		return Grant{Replica: ask.Replica, Slots: FairPart(ask.Limit, nodes), For: o.settings.LeaseTime}
	}
	b.expire(now)
	slots := b.allot(now, node, ask, o.settings.LowShare)
	if now.Sub(b.opened) < o.settings.Renew {
		// Nodes that this owner has not heard of yet may hold slots from the
		// owner before it.
		slots = min(slots, max(ask.Used, FairPart(ask.Limit, nodes)))
	}
	b.leases[node] = lease{ask: ask, slots: slots, asked: now, expires: now.Add(o.settings.LeaseTime)}
	return Grant{Replica: ask.Replica, Slots: slots, For: o.settings.LeaseTime}
}

// Release drops what a node held, as when it has left.
func (o *Owner) Release(node string) {
	for _, b := range o.replicas {
		delete(b.leases, node)
	}
}

// Sweep forgets the replicas on which nobody holds anything any more.
func (o *Owner) Sweep(now time.Time) {
	for name, b := range o.replicas {
		if b.expire(now); len(b.leases) == 0 {
			delete(o.replicas, name)
		}
	}
}

func (o *Owner) book(now time.Time, replica string) *book {
	if b, ok := o.replicas[replica]; ok {
		return b
	}
	if len(o.replicas) >= maxReplicas {
		return nil
	}
	b := &book{opened: now, leases: make(map[string]lease)}
	o.replicas[replica] = b
	return b
}

func (b *book) expire(now time.Time) {
	for node, l := range b.leases {
		if !now.Before(l.expires) {
			delete(b.leases, node)
		}
	}
}

// allot works out the slots of one node: what it wants, as far as the limit
// leaves room after the others' slots and after what more urgent ones wait for.
func (b *book) allot(now time.Time, node string, ask Ask, lowShare float64) int {
	rest := b.rest(now, node, ask)
	free := max(ask.Limit-rest.held, 0)
	// What the more urgent ones leave may be had, and what the less urgent
	// ones together may keep.
	urgent := max(rest.urgent-rest.ending, 0)
	left := max(free-urgent, 0)
	if urgent > 0 {
		low := int(math.Ceil(lowShare*float64(ask.Limit))) - rest.low
		left = max(left, min(free, low))
	}
	slots := min(ask.Want, left)
	spare := max(free-slots-rest.missing, 0)
	return slots + min(ask.Extra, spare)
}

// others is what the other nodes have to do with an ask.
type others struct {
	// held is what they hold, low the part of it held by those that do not
	// come before the ask.
	held, low int
	// urgent is what those that come before the ask wait for, missing what any
	// of them wait for.
	urgent, missing int
	// ending is what they have to give back as their requests end.
	ending int
}

func (b *book) rest(now time.Time, node string, ask Ask) others {
	var sum others
	for name, l := range b.leases {
		if name == node {
			continue
		}
		sum.held += l.held()
		sum.missing += l.missing(now)
		sum.ending += l.held() - l.slots
		if l.ask.before(ask) {
			sum.urgent += l.missing(now)
		} else {
			sum.low += l.held()
		}
	}
	return sum
}

// FairPart is a node's part of a limit where the owner cannot be asked.
func FairPart(limit, nodes int) int { return max(limit/max(nodes, 1), 1) }
