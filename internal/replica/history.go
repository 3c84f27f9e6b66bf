package replica

import "slices"

// maxDeltas bounds the stored deltas: about three seconds at ten changes a second, in which
// other nodes fetch the listing several times.
const maxDeltas = 32

// history is a listing and the deltas between the successive listings up to it, oldest first.
type history struct {
	listing Listing
	deltas  []Delta
}

// advance replaces the listing. If the replicas differ, it stores the delta and drops the
// oldest one beyond maxDeltas. Between listings of different zones there are no deltas.
func (h *history) advance(next Listing) {
	switch {
	case next.Zone != h.listing.Zone:
		h.deltas = nil
	case next.Digest != h.listing.Digest:
		h.deltas = append(h.deltas, diffListings(h.listing, next))
		if over := len(h.deltas) - maxDeltas; over > 0 {
			h.deltas = slices.Delete(h.deltas, 0, over)
		}
	}
	h.listing = next
}

// since returns the delta from the listing with the digest to the newest one; false if it is
// no longer stored. Zero is not a valid digest.
func (h *history) since(digest uint64) (Delta, bool) {
	if digest == 0 {
		return Delta{}, false
	}
	first := -1
	for i, delta := range h.deltas {
		if delta.From == digest {
			first = i
		}
	}
	if first < 0 {
		return Delta{}, false
	}
	composed := h.deltas[first]
	for _, delta := range h.deltas[first+1:] {
		composed = composed.compose(delta)
	}
	return composed, true
}
