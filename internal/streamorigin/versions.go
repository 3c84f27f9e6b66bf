package streamorigin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/replica"
)

// versions tracks which software versions of an upstream's replicas may have begun streams that can
// still be resumed: those of the listed replicas, and those listed lately. It is safe for concurrent use.
type versions struct {
	replicas *replica.Set
	clock    boottime.Clock

	mu sync.Mutex
	// listedSince is when this node got its first listing; zero: it has none.
	listedSince boottime.Instant
	// lastListed is when versions were last listed that are no longer, by upstream.
	lastListed map[string]map[string]boottime.Instant
	listed     map[string]listedVersions
	// readSaved is set once the records in the store were read, which have all versions that served side
	// by side before this node had a listing.
	readSaved bool
}

// listedVersions are the versions of the upstream's replicas as they are listed.
type listedVersions struct {
	replicas []replica.Replica
	versions []string
}

func newVersions(replicas *replica.Set, clock boottime.Clock) *versions {
	return &versions{replicas: replicas, clock: clock, lastListed: make(map[string]map[string]boottime.Instant), listed: make(map[string]listedVersions)}
}

// onReplicaChanges takes note of replicas that are gone.
func (v *versions) onReplicaChanges(changes []replica.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock()
	if v.listedSince == 0 {
		v.listedSince = now
	}
	for _, c := range changes {
		if c.Kind == replica.Removed {
			v.setLastListed(Origin{Upstream: c.Replica.Upstream, Version: c.Replica.Version}, now)
		}
	}
}

// onSavedRecords takes note of the versions of all records in the store.
func (v *versions) onSavedRecords(records []Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.readSaved = true
	now := v.clock()
	for i := range records {
		v.setLastListed(records[i].Origin, now)
	}
}

// setLastListed is called with the lock held.
func (v *versions) setLastListed(o Origin, now boottime.Instant) {
	if v.lastListed[o.Upstream] == nil {
		v.lastListed[o.Upstream] = make(map[string]boottime.Instant)
	}
	v.lastListed[o.Upstream][o.Version] = now
}

// recent returns the versions that may have begun streams of the upstream, in order.
func (v *versions) recent(upstream string) []string {
	listed := v.replicas.ForUpstream(upstream)
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock()
	current := v.listedVersions(upstream, listed)
	gone := v.lastListed[upstream]
	maps.DeleteFunc(gone, func(_ string, at boottime.Instant) bool { return now.Sub(at) >= maxRetention })
	if len(gone) == 0 {
		return current
	}
	all := slices.AppendSeq(slices.Clone(current), maps.Keys(gone))
	slices.Sort(all)
	return slices.Compact(all)
}

// listedVersions returns the versions of the listed replicas, in order. The lock is held.
func (v *versions) listedVersions(upstream string, listed []replica.Replica) []string {
	// The set returns the same slice until it changes.
	if known := v.listed[upstream]; len(listed) > 0 && len(known.replicas) == len(listed) && &known.replicas[0] == &listed[0] {
		return known.versions
	}
	var current []string
	for i := range listed {
		if !slices.Contains(current, listed[i].Version) {
			current = append(current, listed[i].Version)
		}
	}
	slices.Sort(current)
	v.listed[upstream] = listedVersions{listed, current}
	return current
}

// areMixed reports whether streams of the upstream may have begun at different versions.
func (v *versions) areMixed(upstream string) bool { return len(v.recent(upstream)) > 1 }

// areComplete reports whether this node knows all versions that may have begun streams, if its listing is
// recent: it has watched for long enough, or has read what was saved before.
func (v *versions) areComplete() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listedSince != 0 && (v.readSaved || v.clock().Sub(v.listedSince) >= maxRetention)
}

// listingAge returns the age of the registrations that this node uses.
func (v *versions) listingAge() time.Duration {
	_, readAt := v.replicas.Latest()
	return v.clock().Sub(readAt)
}
