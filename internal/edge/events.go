package edge

import (
	"time"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/replica"
)

// storeAvailabilityChanged reports that reads of the store started to fail, or recovered.
type storeAvailabilityChanged struct {
	recordName string
	err        error
}

// Name implements eventlog.Event.
func (e *storeAvailabilityChanged) Name() string {
	if e.err != nil {
		return "store_lost"
	}
	return "store_regained"
}

// Level implements eventlog.Event.
func (*storeAvailabilityChanged) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *storeAvailabilityChanged) Fields() eventlog.Fields {
	fields := eventlog.Fields{"read": e.recordName}
	if e.err != nil {
		fields["error"] = e.err.Error()
	}
	return fields
}

// outageLogger logs when reads of one record start to fail and when they recover. It is
// not safe for concurrent use.
type outageLogger struct {
	recordName string
	log        *eventlog.Log
	lost       bool
}

// observe records the result of a read and logs a change.
func (l *outageLogger) observe(err error) {
	if lost := err != nil; lost != l.lost {
		l.lost = lost
		l.log.Write(&storeAvailabilityChanged{recordName: l.recordName, err: err})
	}
}

// storeRestored reports that the store was restored from an older copy, which loses what was written
// since: leases, announcements and registrations.
type storeRestored struct{ era, previous int64 }

// Name implements eventlog.Event.
func (*storeRestored) Name() string { return "store_restored" }

// Level implements eventlog.Event.
func (*storeRestored) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *storeRestored) Fields() eventlog.Fields {
	return eventlog.Fields{"era": e.era, "previous_era": e.previous}
}

// replicaChanged reports a change in the known state of a replica.
type replicaChanged struct {
	change   replica.Change
	revision int64
	age      time.Duration
}

// Name implements eventlog.Event.
func (*replicaChanged) Name() string { return "replica_changed" }

// Level implements eventlog.Event.
func (*replicaChanged) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *replicaChanged) Fields() eventlog.Fields {
	r := e.change.Replica
	return eventlog.Fields{
		"replica": r.ID, "upstream": r.Upstream, "address": r.Address, "version": r.Version, "state": e.change.Kind,
		"revision": e.revision, "age_ms": e.age.Milliseconds(),
	}
}

// listingReplaced reports a listing with many changes.
type listingReplaced struct {
	listing replica.Listing
	counts  map[replica.ChangeKind]int
	age     time.Duration
}

func newListingReplaced(l replica.Listing, changes []replica.Change, age time.Duration) *listingReplaced {
	counts := make(map[replica.ChangeKind]int)
	for _, c := range changes {
		counts[c.Kind]++
	}
	return &listingReplaced{listing: l, counts: counts, age: age}
}

// Name implements eventlog.Event.
func (*listingReplaced) Name() string { return "replica_listing_replaced" }

// Level implements eventlog.Event.
func (*listingReplaced) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *listingReplaced) Fields() eventlog.Fields {
	return eventlog.Fields{
		"replicas": len(e.listing.Replicas), "part_of_zone": e.listing.Zone, "changes": e.counts,
		"revision": e.listing.Revision, "age_ms": e.age.Milliseconds(),
	}
}

// lifecycle reports a start, reload or stop of the process.
type lifecycle struct {
	name   string
	fields eventlog.Fields
}

// Name implements eventlog.Event.
func (e *lifecycle) Name() string { return e.name }

// Level implements eventlog.Event.
func (*lifecycle) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *lifecycle) Fields() eventlog.Fields { return e.fields }

// quarantinesLoaded reports that the node has read the quarantines and causes kept in the store. undecoded
// names entries that could not be decoded; nil: all could.
type quarantinesLoaded struct {
	records   int
	causes    int
	undecoded error
}

// Name implements eventlog.Event.
func (*quarantinesLoaded) Name() string { return "quarantines_loaded" }

// Level implements eventlog.Event.
func (*quarantinesLoaded) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *quarantinesLoaded) Fields() eventlog.Fields {
	fields := eventlog.Fields{"records": e.records, "causes": e.causes}
	if e.undecoded != nil {
		fields["error"] = e.undecoded.Error()
	}
	return fields
}
