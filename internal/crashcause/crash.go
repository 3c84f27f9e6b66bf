package crashcause

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ReplicaHash is a hash of the name of a replica's process. A process crashes once, so that the hash also
// identifies the crash.
type ReplicaHash uint64

// HashReplica returns the hash of the name of a replica's process.
func HashReplica(process string) ReplicaHash { return ReplicaHash(xxhash.Sum64String(process)) }

// Crash is a crash of a replica while a call with the record's factor ran there.
type Crash struct {
	Replica ReplicaHash
	// StartedAt is when the last such call was sent there, At when the replica crashed.
	StartedAt, At time.Time
	// Trial is whether that call ran as a trial of a known cause.
	Trial bool
}

// compareCrashes orders by time.
func compareCrashes(a, b Crash) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Replica, b.Replica))
}

// merge returns the later of two reports of one crash.
func (c Crash) merge(other Crash) Crash {
	if order := cmp.Or(c.At.Compare(other.At), c.StartedAt.Compare(other.StartedAt)); order > 0 || order == 0 && c.Trial {
		return c
	}
	return other
}

// generations returns how many of the crashes, in their order, came one after the other: each under a call that
// was sent after the one before. Replicas that crash at the same time, as those of a failed rack, are one
// generation.
func generations(crashes []Crash) int {
	count := 0
	var last time.Time
	for _, c := range crashes {
		if count == 0 || c.StartedAt.After(last) {
			count++
			last = c.At
		}
	}
	return count
}
