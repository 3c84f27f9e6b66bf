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
	id               uuid.UUID
	key              string
	expectedRevision int64
	value            []byte

	// sequence is the number of the segment that the write stores.
	sequence int64
	sealed   bool
	// body contains all records of the segment.
	body []byte
	// digests are the claims whose records this write adds.
	digests []digest
	// opensSegment reports that the write overwrites the oldest segment with a new one.
	opensSegment bool
	// newestChange is the number of the newest change that is durable after the write.
	newestChange int64
}

// nextWrite returns the next write, with as many pending changes as fit. Once it has
// taken effect, earlier holders of the ring can no longer write. Only one write may be
// in flight at a time.
func (r *ring) nextWrite(now time.Time, id uuid.UUID) (write, error) {
	next := write{id: id, sequence: r.tail, body: r.body, newestChange: r.durableChange}
	if r.sealed {
		if err := r.beginSegment(&next, now); err != nil {
			return write{}, err
		}
	}
	position := r.position(next.sequence)
	next.key = segmentKey(r.prefix, position)
	next.expectedRevision = r.slots[position].revision
	r.takePending(&next)
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

// beginSegment starts the next segment with the records to keep from the segment that it
// overwrites.
func (r *ring) beginSegment(next *write, now time.Time) error {
	next.opensSegment = true
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

// carry copies a claim's state to the new segment if the overwritten segment contains
// its latest record and it has not expired.
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
		r.remove(id, current)
		return nil
	}
	if err := current.reencode(id, state, kept, canShorten(kept, now, r.policy)); err != nil {
		return err
	}
	current.sequence = next.sequence
	r.replace(id, current)
	next.append(id, current)
	return nil
}

func (r *ring) remove(id digest, current indexEntry) {
	r.bytes -= current.size()
	delete(r.index, id)
}

// reencode updates the encoding to the kept state, as a short record if shorten is true.
func (e *indexEntry) reencode(id digest, state, kept *claimv1.Record, shorten bool) error {
	if e.short {
		return nil
	}
	if shorten {
		e.encoded, e.short = encodeShortRecord(id, kept), true
		return nil
	}
	if kept == state {
		return nil
	}
	encoded, err := proto.Marshal(kept)
	e.encoded = encoded
	return err
}

// maxBatchBytes limits the pending changes in one write, so that a segment stays well
// below platform.MaxValueBytes.
const maxBatchBytes = 256 << 10

// takePending moves pending changes into the write, unless the carried records already
// fill the segment.
func (r *ring) takePending(next *write) {
	limit := len(next.body) + maxBatchBytes
	if len(next.body) >= r.policy.SegmentBytes {
		limit = 0
	}
	taken := 0
	for _, waiting := range r.pending {
		if len(next.body) >= limit {
			break
		}
		taken++
		r.pendingBytes -= len(waiting.encoded)
		next.newestChange = waiting.number
		if current, exists := r.index[waiting.digest]; exists {
			current.sequence = next.sequence
			r.index[waiting.digest] = current
		}
		next.append(waiting.digest, indexEntry{encoded: waiting.encoded})
	}
	r.pending = r.pending[taken:]
}

// append adds one record. The body is copied on first growth, so that the write does not
// share memory with the ring.
func (w *write) append(id digest, entry indexEntry) {
	if len(w.digests) == 0 {
		w.body = append(make([]byte, 0, len(w.body)+len(entry.encoded)+128), w.body...)
	}
	field := protowire.Number(recordsField)
	if entry.short {
		field = shortRecordsField
	}
	w.body = protowire.AppendTag(w.body, field, protowire.BytesType)
	w.body = protowire.AppendBytes(w.body, entry.encoded)
	w.digests = append(w.digests, id)
}

// markWritten updates the ring after a write took effect at the given revision.
func (r *ring) markWritten(written write, revision int64) {
	segmentSlot := &r.slots[r.position(written.sequence)]
	if written.opensSegment {
		segmentSlot.digests = nil
	}
	segmentSlot.digests = append(segmentSlot.digests, written.digests...)
	segmentSlot.sequence = written.sequence
	segmentSlot.revision = revision
	r.tail = written.sequence
	r.sealed = written.sealed
	r.body = written.body
	r.durableChange = written.newestChange
	r.compact = false
}

func (r *ring) position(sequence int64) int { return int(sequence % int64(len(r.slots))) }

// effect is the known result of a write.
type effect int

const (
	// effectApplied: the write has taken effect.
	effectApplied effect = iota + 1
	// effectUnresolved: the write may still take effect; the same write is sent again.
	effectUnresolved
	// effectSuperseded: the write was refused, usually because another holder has taken
	// over the ring.
	effectSuperseded
	// effectNeedsRead: the write conflicted with a value that was not returned and must
	// be read.
	effectNeedsRead
)

// String returns the effect as used in metric labels.
func (e effect) String() string {
	switch e {
	case effectApplied:
		return "landed"
	case effectSuperseded:
		return "superseded"
	}
	return "unresolved"
}

// classify determines the effect from the result of the compare-and-swap. Sending the
// same write again is safe, since its condition can hold at most once.
func (w write) classify(swapped platform.Entry, err error) (effect, int64) {
	if err == nil {
		return effectApplied, swapped.Revision
	}
	if errors.Is(err, platform.ErrTooLarge) {
		return effectSuperseded, 0
	}
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return effectUnresolved, 0
	}
	if conflict.Current.Revision != 0 && len(conflict.Current.Value) == 0 {
		return effectNeedsRead, 0
	}
	return w.classifyStored(conflict.Current)
}

// classifyStored determines whether the stored value is this write or another one.
func (w write) classifyStored(found platform.Entry) (effect, int64) {
	segment := &claimv1.Segment{}
	if err := proto.Unmarshal(found.Value, segment); err != nil {
		return effectSuperseded, 0
	}
	if uuidFromBytes(segment.GetWriteId()) != w.id {
		return effectSuperseded, 0
	}
	return effectApplied, found.Revision
}
