package claim

import (
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

// digest is the index's key: the first 96 bits of a SHA-256 sum over the
// claim's key. Two keys with one digest are taken for one call, so that the
// later one is not run.
type digest [12]byte

func digestOf(key Key) digest {
	sum := sha256.New()
	writeField(sum, key.Workspace)
	writeField(sum, key.Upstream)
	writeField(sum, key.IdempotencyKey)
	return digest(sum.Sum(nil)[:len(digest{})])
}

// held is the latest state of one claim.
type held struct {
	// sequence is the segment that holds the state; zero while no write has
	// taken it yet.
	sequence int64
	// change numbers the state; it is durable once the ring has written it.
	change int64
	// encoded is the marshalled claimv1.Record, or the packed short record.
	encoded []byte
	short   bool
}

// size returns the bytes that the state takes in a segment.
func (h held) size() int {
	if h.encoded == nil {
		return 0
	}
	return protowire.SizeTag(recordsField) + protowire.SizeBytes(len(h.encoded))
}

// state decodes the claim's latest state.
func (h held) state() (*claimv1.Record, error) {
	if h.short {
		return unpack(h.encoded)
	}
	state := &claimv1.Record{}
	if err := proto.Unmarshal(h.encoded, state); err != nil {
		return nil, err
	}
	return state, nil
}

// slot is one platform key of the ring as last seen.
type slot struct {
	// revision is the platform's revision of the key, zero where it is absent.
	revision int64
	// sequence is the segment in it.
	sequence int64
	// digests are the claims written into the segment.
	digests []digest
}

// change is a state that waits for a write.
type change struct {
	number  int64
	digest  digest
	encoded []byte
}

// ring is the log of one shard: a ring of segments of which exactly one, the
// tail, may be written. It is pure, and not safe for concurrent use.
type ring struct {
	policy Policy
	prefix string
	holder string
	epoch  int64

	index map[digest]held
	slots []slot
	// tail is the newest segment's sequence; sealed says that the next write
	// begins a new one.
	tail   int64
	sealed bool
	// body is the tail's encoded records.
	body []byte
	// bytes is the sum of the sizes of the states in the index.
	bytes int
	// compact asks that the next write seals its segment, so that the ring
	// moves on to what may be dropped.
	compact bool

	pending []change
	// pendingBytes is the sum of the pending changes' encoded states.
	pendingBytes int
	// last numbers the newest change, durable the newest that is written.
	last    int64
	durable int64
}

// apply runs the command on the claim of key. The verdict may be told once the
// returned change is durable; zero needs no wait.
func (r *ring) apply(key Key, command Command, now time.Time) (Decision, int64, error) {
	id := digestOf(key)
	current, exists := r.index[id]
	state, err := r.lookup(current, exists, now)
	if err != nil {
		return Decision{}, 0, err
	}
	next, decision := Apply(state, command)
	if next == nil || next == state {
		return decision, r.undurable(current), nil
	}
	if next.GetKey() == nil {
		// A short record does not keep the key.
		next.Key = KeyToProto(key)
	}
	number, err := r.put(id, next)
	return decision, number, err
}

// lookup returns the state as it stands now, nil where there is none.
func (r *ring) lookup(current held, exists bool, now time.Time) (*claimv1.Record, error) {
	if !exists {
		return nil, nil
	}
	state, err := current.state()
	if err != nil {
		return nil, err
	}
	return expire(state, now, r.policy), nil
}

// undurable returns the change to wait for before the state may be told.
func (r *ring) undurable(current held) int64 {
	if current.change <= r.durable {
		return 0
	}
	return current.change
}

// put keeps the state and queues it for the next write.
func (r *ring) put(id digest, state *claimv1.Record) (int64, error) {
	encoded, err := proto.Marshal(state)
	if err != nil {
		return 0, err
	}
	r.last++
	r.replace(id, held{change: r.last, encoded: encoded})
	r.pending = append(r.pending, change{number: r.last, digest: id, encoded: encoded})
	r.pendingBytes += len(encoded)
	return r.last, nil
}

// replace makes the state the claim's latest.
func (r *ring) replace(id digest, next held) {
	r.bytes += next.size() - r.index[id].size()
	r.index[id] = next
}

// crowded says that the ring should move on to what may be dropped.
func (r *ring) crowded() bool {
	return float64(r.bytes) > compactPart*float64(r.policy.capacity())
}

// full says that no new claim may be made.
func (r *ring) full() bool {
	return float64(r.bytes) > fullPart*float64(r.policy.capacity())
}

// fill returns the part taken of the room for new claims: 1 and more where none
// may be made. A ring drops answers only once it is crowded, so that what counts
// below that is what its claims take as short records.
func (r *ring) fill() float64 {
	capacity := float64(r.policy.capacity())
	short := held{encoded: make([]byte, shortBytes)}
	ended := float64(len(r.index)*short.size()) / (fullPart * capacity)
	crowd := (float64(r.bytes) - compactPart*capacity) / ((fullPart - compactPart) * capacity)
	return max(ended, crowd)
}

// bodyFree says that answers are recorded without their bodies.
func (r *ring) bodyFree() bool {
	return float64(r.bytes) > bodyFreePart*float64(r.policy.capacity())
}
