package claim

import (
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

// digest is the index key: the first 96 bits of a SHA-256 sum over the claim's key. If
// two keys collide, the later call is treated as a repeat and not run.
type digest [12]byte

func digestOf(key Key) digest {
	sum := sha256.New()
	writeField(sum, key.Workspace)
	writeField(sum, key.Upstream)
	writeField(sum, key.IdempotencyKey)
	return digest(sum.Sum(nil)[:len(digest{})])
}

// indexEntry is the latest state of one claim.
type indexEntry struct {
	// sequence is the segment that contains the state; zero if not yet written.
	sequence int64
	// change is the number of the change that made the state; see ring.durableChange.
	change int64
	// encoded is the marshaled claimv1.Record, or the short record.
	encoded []byte
	short   bool
}

func (e indexEntry) size() int {
	if e.encoded == nil {
		return 0
	}
	return protowire.SizeTag(recordsField) + protowire.SizeBytes(len(e.encoded))
}

func (e indexEntry) state() (*claimv1.Record, error) {
	if e.short {
		return decodeShortRecord(e.encoded)
	}
	state := &claimv1.Record{}
	if err := proto.Unmarshal(e.encoded, state); err != nil {
		return nil, err
	}
	return state, nil
}

// slot is the last known content of one platform key of the ring.
type slot struct {
	// revision is the platform's revision of the key; zero if the key does not exist.
	revision int64
	// sequence is that of the segment stored in it.
	sequence int64
	// digests are the claims with a record in the segment.
	digests []digest
}

// change is a state that waits to be written.
type change struct {
	number  int64
	digest  digest
	encoded []byte
}

// ring is the log of one shard: a ring of segments, of which only the newest, the tail,
// may be written. It performs no I/O and is not safe for concurrent use.
type ring struct {
	policy Policy
	prefix string
	holder string
	epoch  int64

	index map[digest]indexEntry
	slots []slot
	// tail is the sequence of the newest segment; sealed means that the next write
	// starts a new one.
	tail   int64
	sealed bool
	// body contains the tail's encoded records.
	body  []byte
	bytes int
	// compact requests that the next write seal its segment, so that the ring advances
	// and drops expired claims.
	compact bool

	pending []change
	// pendingBytes is the total size of the pending changes.
	pendingBytes int
	// lastChange is the number of the newest change; durableChange that of the newest
	// written one.
	lastChange    int64
	durableChange int64
}

// apply runs the command on the claim of key. The decision may be returned to the caller
// once the returned change is durable; zero means that no wait is needed.
func (r *ring) apply(key Key, command Command, now time.Time) (Decision, int64, error) {
	id := digestOf(key)
	current, exists := r.index[id]
	state, err := r.lookup(current, exists, now)
	if err != nil {
		return Decision{}, 0, err
	}
	next, decision := Apply(state, command)
	if next == nil || next == state {
		return decision, r.changeToAwait(current), nil
	}
	if next.GetKey() == nil {
		// Short records do not contain the key.
		next.Key = KeyToProto(key)
	}
	number, err := r.put(id, next)
	return decision, number, err
}

// lookup returns the state as of now; nil if there is none.
func (r *ring) lookup(current indexEntry, exists bool, now time.Time) (*claimv1.Record, error) {
	if !exists {
		return nil, nil
	}
	state, err := current.state()
	if err != nil {
		return nil, err
	}
	return expire(state, now, r.policy), nil
}

// changeToAwait returns the change that must become durable before the state may be
// returned to a caller; zero if none.
func (r *ring) changeToAwait(current indexEntry) int64 {
	if current.change <= r.durableChange {
		return 0
	}
	return current.change
}

func (r *ring) put(id digest, state *claimv1.Record) (int64, error) {
	encoded, err := proto.Marshal(state)
	if err != nil {
		return 0, err
	}
	r.lastChange++
	r.replace(id, indexEntry{change: r.lastChange, encoded: encoded})
	r.pending = append(r.pending, change{number: r.lastChange, digest: id, encoded: encoded})
	r.pendingBytes += len(encoded)
	return r.lastChange, nil
}

func (r *ring) replace(id digest, next indexEntry) {
	r.bytes += next.size() - r.index[id].size()
	r.index[id] = next
}

// shouldCompact reports whether the ring should advance to drop expired claims.
func (r *ring) shouldCompact() bool {
	return float64(r.bytes) > compactFraction*float64(r.policy.capacity())
}

// isFull reports whether new claims must be refused.
func (r *ring) isFull() bool {
	return float64(r.bytes) > fullFraction*float64(r.policy.capacity())
}

// fill returns the used fraction of the capacity for new claims; at 1 or more, none are
// accepted. Below the compaction threshold, expired bodies still count in bytes, so
// claims are counted there by the size of their short records.
func (r *ring) fill() float64 {
	capacity := float64(r.policy.capacity())
	short := indexEntry{encoded: make([]byte, shortRecordBytes)}
	indexFill := float64(len(r.index)*short.size()) / (fullFraction * capacity)
	excessFill := (float64(r.bytes) - compactFraction*capacity) / ((fullFraction - compactFraction) * capacity)
	return max(indexFill, excessFill)
}

// dropsBodies reports whether only the status of answers is recorded.
func (r *ring) dropsBodies() bool {
	return float64(r.bytes) > dropBodyFraction*float64(r.policy.capacity())
}
