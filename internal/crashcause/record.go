package crashcause

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/ctxtime"
)

const (
	// minCrashes and minGenerations are the crashes that a cause has at least, and how many of them came
	// one after the other.
	minCrashes     = 3
	minGenerations = 2
	// maxCrashes bounds the crashes of a record; the earliest are kept.
	maxCrashes = 64
	// suspicionDuration is how long a suspicion lasts, causeRetention how long a cause is kept after the
	// last call with it, and soundRetention how long it is told that a factor was cleared.
	suspicionDuration = 10 * time.Minute
	causeRetention    = 24 * time.Hour
	soundRetention    = 30 * time.Second
)

// Record is the crash history of one factor. Records of one factor merge to their least upper bound, in any
// order and any number of times.
type Record struct {
	Factor Factor
	// SoundAt is when the last call with the factor that got its answer was sent to its replica.
	SoundAt time.Time
	// Crashes are those after SoundAt, in their order.
	Crashes []Crash

	// The other fields are this node's own. seenAt is when a call with the factor last came, changedAt when the
	// record last changed, triedAt when the last trial of this node ended, and isLocal whether a replica crashed under a
	// call of this node.
	seenAt, changedAt, triedAt time.Time
	isLocal                    bool
}

// add adds crashes and a time at which the factor was sound. It reports whether the record changed.
func (r *Record) add(soundAt time.Time, crashes ...Crash) bool {
	before := r.hash()
	r.SoundAt = ctxtime.Later(r.SoundAt, soundAt)
	merged := slices.Clone(r.Crashes)
	for _, c := range crashes {
		if i := slices.IndexFunc(merged, func(known Crash) bool { return known.Replica == c.Replica }); i >= 0 {
			merged[i] = merged[i].merge(c)
		} else {
			merged = append(merged, c)
		}
	}
	merged = slices.DeleteFunc(merged, func(c Crash) bool { return !c.At.After(r.SoundAt) })
	slices.SortFunc(merged, compareCrashes)
	r.Crashes = merged[:min(len(merged), maxCrashes)]
	return r.hash() != before
}

// isEnough reports whether so many replicas crashed that the factor may be a cause.
func isEnough(crashes []Crash) bool {
	return len(crashes) >= minCrashes && generations(crashes) >= minGenerations
}

func (r *Record) lastCrash() time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].At
}

func (r *Record) trials() int {
	count := 0
	for _, c := range r.Crashes {
		if c.Trial {
			count++
		}
	}
	return count
}

// expiresAt returns when the record no longer has an effect.
func (r *Record) expiresAt() time.Time {
	switch last := r.lastCrash(); {
	case last.IsZero():
		return r.SoundAt.Add(soundRetention)
	case isEnough(r.Crashes):
		return ctxtime.Later(last, r.seenAt).Add(causeRetention)
	default:
		return last.Add(suspicionDuration)
	}
}

// hash covers what nodes tell each other, at the precision of the wire format.
func (r *Record) hash() uint64 {
	encoded := binary.LittleEndian.AppendUint64(nil, uint64(r.Factor))
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(r.SoundAt.UnixMicro()))
	for _, c := range r.Crashes {
		encoded = binary.LittleEndian.AppendUint64(encoded, uint64(c.Replica))
		encoded = binary.LittleEndian.AppendUint64(encoded, uint64(c.StartedAt.UnixMicro()))
		encoded = binary.LittleEndian.AppendUint64(encoded, uint64(c.At.UnixMicro()))
		if c.Trial {
			encoded = append(encoded, 1)
		}
	}
	return xxhash.Sum64(encoded)
}

// Digest returns an order-independent digest of the records, by which nodes see whether they have the same.
func Digest(records []Record) uint64 {
	var digest uint64
	for i := range records {
		digest ^= records[i].hash()
	}
	return digest
}
