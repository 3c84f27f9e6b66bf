package claim

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/platform"
)

func segmentKey(prefix string, position int) string {
	return fmt.Sprintf("%s%04d", prefix, position)
}

func shardPrefix(number int) string { return fmt.Sprintf("claims/%04d/", number) }

type storedSegment struct {
	position int
	revision int64
	segment  *claimv1.Segment
}

// recoverRing rebuilds a shard's ring from the platform's entries. The ring may be used
// only after its first write, which fences out the previous holder.
func recoverRing(policy Policy, prefix, holder string, epoch int64, entries []platform.Entry) (*ring, error) {
	r := &ring{
		policy: policy, prefix: prefix, holder: holder, epoch: epoch,
		index: make(map[digest]indexEntry), slots: make([]slot, policy.Segments), sealed: true,
	}
	segments, err := readSegments(r, entries)
	if err != nil {
		return nil, err
	}
	for _, stored := range segments {
		if stored.segment.GetEpoch() > epoch {
			return nil, errSuperseded
		}
		if err := r.replay(stored); err != nil {
			return nil, err
		}
	}
	r.rebuildTail()
	return r, nil
}

// readSegments decodes the entries and returns the segments by ascending sequence.
func readSegments(r *ring, entries []platform.Entry) ([]storedSegment, error) {
	positions := make(map[string]int, len(r.slots))
	for position := range r.slots {
		positions[segmentKey(r.prefix, position)] = position
	}
	segments := make([]storedSegment, 0, len(entries))
	for _, entry := range entries {
		position, known := positions[entry.Key]
		if !known {
			return nil, fmt.Errorf("key %s is outside the ring of %d segments", entry.Key, len(r.slots))
		}
		segment := &claimv1.Segment{}
		if err := proto.Unmarshal(entry.Value, segment); err != nil {
			return nil, fmt.Errorf("decode segment %s: %w", entry.Key, err)
		}
		segments = append(segments, storedSegment{position: position, revision: entry.Revision, segment: segment})
	}
	slices.SortFunc(segments, func(a, b storedSegment) int {
		return cmp.Compare(a.segment.GetSequence(), b.segment.GetSequence())
	})
	return segments, nil
}

func (r *ring) replay(stored storedSegment) error {
	segmentSlot := &r.slots[stored.position]
	segmentSlot.revision = stored.revision
	segmentSlot.sequence = stored.segment.GetSequence()
	r.tail = segmentSlot.sequence
	r.sealed = stored.segment.GetSealed()
	for _, packed := range stored.segment.GetShortRecords() {
		if _, err := decodeShortRecord(packed); err != nil {
			return err
		}
		r.restore(segmentSlot, digest(packed[:len(digest{})]), indexEntry{encoded: packed, short: true})
	}
	for _, record := range stored.segment.GetRecords() {
		encoded, err := proto.Marshal(record)
		if err != nil {
			return err
		}
		r.restore(segmentSlot, digestOf(KeyFromProto(record.GetKey())), indexEntry{encoded: encoded})
	}
	return nil
}

func (r *ring) restore(segmentSlot *slot, id digest, entry indexEntry) {
	entry.sequence = segmentSlot.sequence
	r.replace(id, entry)
	segmentSlot.digests = append(segmentSlot.digests, id)
}

// rebuildTail re-encodes the tail's records, with only the latest record of each claim.
func (r *ring) rebuildTail() {
	if r.sealed {
		return
	}
	segmentSlot := &r.slots[r.position(r.tail)]
	kept := write{}
	for _, id := range segmentSlot.digests {
		if r.index[id].sequence == r.tail && !slices.Contains(kept.digests, id) {
			kept.append(id, r.index[id])
		}
	}
	segmentSlot.digests = kept.digests
	r.body = kept.body
}
