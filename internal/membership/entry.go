package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

const (
	alive   = membershipv1.Liveness_LIVENESS_ALIVE
	suspect = membershipv1.Liveness_LIVENESS_SUSPECT
	dead    = membershipv1.Liveness_LIVENESS_DEAD
)

type entry struct {
	// record is replaced, never modified, because messages in flight share it.
	record *membershipv1.Member
	// hash is the xxhash of the name, used for rendezvous hashing.
	hash uint64
	// statusSeq is sent as Status.beat; a higher one is newer.
	statusSeq int64
	// load is in units of 1/loadSteps.
	load           uint32
	configRevision int64
	// statusTransmits is the number of messages that carried the current status.
	statusTransmits int
	// transmitsLeft is the number of messages that are still to carry the record.
	transmitsLeft int
	// listedLeaving is the leaving state in the platform's last list.
	listedLeaving bool
	// deadline is when a suspect is declared dead, or a dead member is removed.
	deadline time.Time
}

func newEntry(record *membershipv1.Member) *entry {
	return &entry{record: record, hash: xxhash.Sum64String(record.Name)}
}

// id is the short identifier used in statuses.
func (e *entry) id() uint32 { return uint32(e.hash) }

func (e *entry) state() State {
	switch {
	case e.record.Liveness == dead:
		return StateDead
	case e.record.Leaving:
		return StateLeaving
	case e.record.Liveness == suspect:
		return StateSuspect
	default:
		return StateServing
	}
}

func (e *entry) member() Member {
	return Member{
		Name:             e.record.Name,
		EntryAddress:     e.record.EntryAddress,
		PeerAddress:      e.record.PeerAddress,
		AvailabilityZone: e.record.AvailabilityZone,
		Region:           e.record.Region,
		Incarnation:      e.record.Incarnation,
		State:            e.state(),
		ConfigRevision:   e.configRevision,
		Load:             float64(e.load) / loadSteps,
	}
}

func (e *entry) status() *membershipv1.Status {
	return &membershipv1.Status{
		Id:             e.id(),
		Beat:           e.statusSeq,
		Load:           e.load,
		ConfigRevision: e.configRevision,
	}
}

// digest is the entry's part of the table hash. Dead members have none, since each
// node removes them at a different time.
func (e *entry) digest() uint64 {
	if e.record.Liveness == dead {
		return 0
	}
	state := uint64(e.record.Liveness) << 1
	if e.record.Leaving {
		state |= 1
	}
	return mix(e.hash ^ mix(uint64(e.record.Incarnation)<<3|state))
}
