package claim

import (
	"errors"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/platform"
)

// The field numbers of Segment.records and Segment.short_records.
const (
	recordsField      = 6
	shortRecordsField = 7
)

// write is one compare-and-swap on a shard's tail.
type write struct {
	id     uuid.UUID
	key    string
	expect int64
	value  []byte

	sequence int64
	sealed   bool
	body     []byte
	digests  []digest
	// begins says that the write begins a new segment.
	begins bool
	// durable is the newest change that it carries.
	durable int64
}

// nextWrite returns the write that carries the pending changes, as many as fit.
// It also fences: whoever held the ring before can write no more once it has
// taken effect. Only one write may be under way at a time.
func (r *ring) nextWrite(now time.Time, id uuid.UUID) (write, error) {
	next := write{id: id, sequence: r.tail, body: r.body, durable: r.durable}
	if r.sealed {
		if err := r.begin(&next, now); err != nil {
			return write{}, err
		}
	}
	position := r.position(next.sequence)
	next.key = segmentKey(r.prefix, position)
	next.expect = r.slots[position].revision
	r.take(&next)
	next.sealed = r.compact || len(next.body) >= r.policy.SegmentBytes
	header := &claimv1.Segment{
		Sequence: next.sequence, Epoch: r.epoch, WriteId: id[:], Holder: r.holder, Sealed: next.sealed,
	}
	encoded, err := proto.Marshal(header)
	if err != nil {
		return write{}, err
	}
	next.value = append(encoded, next.body...)
	return next, nil
}

// begin opens the next segment with what survives of the one it overwrites.
func (r *ring) begin(next *write, now time.Time) error {
	next.begins = true
	next.sequence = r.tail + 1
	next.body = nil
	old := &r.slots[r.position(next.sequence)]
	for _, id := range old.digests {
		if err := r.carry(next, id, old.sequence, now); err != nil {
			return err
		}
	}
	return nil
}

// carry copies the claim's state if the overwritten segment holds its latest.
func (r *ring) carry(next *write, id digest, sequence int64, now time.Time) error {
	current, exists := r.index[id]
	if !exists || current.sequence != sequence {
		return nil
	}
	state, err := current.state()
	if err != nil {
		return err
	}
	kept := expire(state, now, r.policy)
	if kept == nil {
		r.forget(id, current)
		return nil
	}
	if err := current.shrink(id, state, kept, shortens(kept, now, r.policy)); err != nil {
		return err
	}
	current.sequence = next.sequence
	r.replace(id, current)
	next.append(id, current)
	return nil
}

func (r *ring) forget(id digest, current held) {
	r.bytes -= current.size()
	delete(r.index, id)
}

// shrink encodes what is kept of the state, shortened where that may be.
func (h *held) shrink(id digest, state, kept *claimv1.Record, shorten bool) error {
	if h.short {
		return nil
	}
	if shorten {
		h.encoded, h.short = pack(id, kept), true
		return nil
	}
	if kept == state {
		return nil
	}
	encoded, err := proto.Marshal(kept)
	h.encoded = encoded
	return err
}

// maxBatchBytes bounds the changes that one write takes, so that a segment
// stays well below platform.MaxValueBytes.
const maxBatchBytes = 256 << 10

// take moves pending changes into the write, unless what was carried fills the
// segment already.
func (r *ring) take(next *write) {
	room := len(next.body) + maxBatchBytes
	if len(next.body) >= r.policy.SegmentBytes {
		room = 0
	}
	taken := 0
	for _, waiting := range r.pending {
		if len(next.body) >= room {
			break
		}
		taken++
		r.pendingBytes -= len(waiting.encoded)
		next.durable = waiting.number
		if current, exists := r.index[waiting.digest]; exists {
			current.sequence = next.sequence
			r.index[waiting.digest] = current
		}
		next.append(waiting.digest, held{encoded: waiting.encoded})
	}
	r.pending = r.pending[taken:]
}

// append adds one record. The body is copied on its first growth, so that a
// write never shares memory with the ring's.
func (w *write) append(id digest, state held) {
	if len(w.digests) == 0 {
		w.body = append(make([]byte, 0, len(w.body)+len(state.encoded)+128), w.body...)
	}
	field := protowire.Number(recordsField)
	if state.short {
		field = shortRecordsField
	}
	w.body = protowire.AppendTag(w.body, field, protowire.BytesType)
	w.body = protowire.AppendBytes(w.body, state.encoded)
	w.digests = append(w.digests, id)
}

// written notes that the write has taken effect at the revision.
func (r *ring) written(done write, revision int64) {
	place := &r.slots[r.position(done.sequence)]
	if done.begins {
		place.digests = nil
	}
	place.digests = append(place.digests, done.digests...)
	place.sequence = done.sequence
	place.revision = revision
	r.tail = done.sequence
	r.sealed = done.sealed
	r.body = done.body
	r.durable = done.durable
	r.compact = false
}

func (r *ring) position(sequence int64) int { return int(sequence % int64(len(r.slots))) }

// effect is what is known of a write.
type effect int

const (
	// effectLanded writes have taken effect.
	effectLanded effect = iota + 1
	// effectOpen writes may still take effect: the same write is sent again.
	effectOpen
	// effectSuperseded writes were refused: another holder has the ring.
	effectSuperseded
	// effectUnread writes were refused by a value that must be read first.
	effectUnread
)

// String returns the effect as used in counters.
func (e effect) String() string {
	switch e {
	case effectLanded:
		return "landed"
	case effectSuperseded:
		return "superseded"
	}
	return "unresolved"
}

// judge says what the answer to the write's compare-and-swap means. Sending the
// same write again is safe, as its condition holds once at most.
func (w write) judge(answer platform.Entry, err error) (effect, int64) {
	if err == nil {
		return effectLanded, answer.Revision
	}
	if errors.Is(err, platform.ErrTooLarge) {
		return effectSuperseded, 0
	}
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return effectOpen, 0
	}
	if conflict.Current.Revision != 0 && len(conflict.Current.Value) == 0 {
		return effectUnread, 0
	}
	return w.recognise(conflict.Current)
}

// recognise tells the write's own value from another's.
func (w write) recognise(found platform.Entry) (effect, int64) {
	segment := &claimv1.Segment{}
	if err := proto.Unmarshal(found.Value, segment); err != nil {
		return effectSuperseded, 0
	}
	if uuidFromBytes(segment.GetWriteId()) != w.id {
		return effectSuperseded, 0
	}
	return effectLanded, found.Revision
}
