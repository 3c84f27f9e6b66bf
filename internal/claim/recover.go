package claim

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/platform"
)

// segmentKey returns the platform key of a position in the ring.
func segmentKey(prefix string, position int) string {
	return fmt.Sprintf("%s%04d", prefix, position)
}

// shardPrefix returns the prefix of a shard's platform keys.
func shardPrefix(number int) string { return fmt.Sprintf("claims/%04d/", number) }

// found is a segment as read back.
type found struct {
	position int
	revision int64
	segment  *claimv1.Segment
}

// recoverRing rebuilds a shard's ring from the platform's entries. The ring may
// be used once its first write, the fence, has taken effect.
func recoverRing(policy Policy, prefix, holder string, epoch int64, entries []platform.Entry) (*ring, error) {
	r := &ring{
		policy: policy, prefix: prefix, holder: holder, epoch: epoch,
		index: make(map[digest]held), slots: make([]slot, policy.Segments), sealed: true,
	}
	segments, err := readSegments(r, entries)
	if err != nil {
		return nil, err
	}
	for _, next := range segments {
		if next.segment.GetEpoch() > epoch {
			return nil, errSuperseded
		}
		if err := r.replay(next); err != nil {
			return nil, err
		}
	}
	r.rebuildTail()
	return r, nil
}

// readSegments decodes the entries, oldest segment first.
func readSegments(r *ring, entries []platform.Entry) ([]found, error) {
	positions := make(map[string]int, len(r.slots))
	for position := range r.slots {
		positions[segmentKey(r.prefix, position)] = position
	}
	segments := make([]found, 0, len(entries))
	for _, entry := range entries {
		position, known := positions[entry.Key]
		if !known {
			return nil, fmt.Errorf("key %s is outside the ring of %d segments", entry.Key, len(r.slots))
		}
		segment := &claimv1.Segment{}
		if err := proto.Unmarshal(entry.Value, segment); err != nil {
			return nil, fmt.Errorf("key %s: %w", entry.Key, err)
		}
		segments = append(segments, found{position: position, revision: entry.Revision, segment: segment})
	}
	slices.SortFunc(segments, func(a, b found) int {
		return cmp.Compare(a.segment.GetSequence(), b.segment.GetSequence())
	})
	return segments, nil
}

// replay takes in one segment.
func (r *ring) replay(next found) error {
	place := &r.slots[next.position]
	place.revision = next.revision
	place.sequence = next.segment.GetSequence()
	r.tail = place.sequence
	r.sealed = next.segment.GetSealed()
	for _, packed := range next.segment.GetShortRecords() {
		if _, err := unpack(packed); err != nil {
			return err
		}
		r.found(place, digest(packed[:len(digest{})]), held{encoded: packed, short: true})
	}
	for _, record := range next.segment.GetRecords() {
		encoded, err := proto.Marshal(record)
		if err != nil {
			return err
		}
		r.found(place, digestOf(KeyFromProto(record.GetKey())), held{encoded: encoded})
	}
	return nil
}

// found takes in one state of a segment.
func (r *ring) found(place *slot, id digest, state held) {
	state.sequence = place.sequence
	r.replace(id, state)
	place.digests = append(place.digests, id)
}

// rebuildTail encodes the tail's records again, each claim once.
func (r *ring) rebuildTail() {
	if r.sealed {
		return
	}
	place := &r.slots[r.position(r.tail)]
	kept := write{}
	for _, id := range place.digests {
		if r.index[id].sequence == r.tail && !slices.Contains(kept.digests, id) {
			kept.append(id, r.index[id])
		}
	}
	place.digests = kept.digests
	r.body = kept.body
}
