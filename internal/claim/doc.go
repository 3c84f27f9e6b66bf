// Package claim makes calls that may not be repeated run at most once: claim,
// then call, then record.
//
// A claim is keyed by workspace, upstream and idempotency key. It is durable in
// the platform's service before Begin answers Run, and from then on every
// repeat, at any node, gets the recorded answer, in progress or unknown.
//
// It is hard state. Claims are spread over shards by a hash of the key. A shard
// is a ring of segments, each one key of the platform; at any moment exactly
// one segment may be written, and every write is one compare-and-swap on it, so
// that a holder that has been superseded is refused by the write itself. The
// holder of a shard is chosen by a lease, which only saves work: safety does
// not rest on it. The bound is Shards x Segments x SegmentBytes in the platform
// and the same records in the holders' memory.
//
// In a platform outage nothing new is claimed: Begin refuses with outcome
// not-run where the shard's holder knows that the key never ran, else unknown. Verdicts that are already durable and known to the holder are still
// answered, and finished calls are recorded when the platform is back.
package claim
