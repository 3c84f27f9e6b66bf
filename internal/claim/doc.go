// Package claim runs calls that must not be repeated at most once: it claims a call
// before it is sent and records its outcome afterwards.
//
// A claim is keyed by workspace, upstream and idempotency key. It is durable in the
// platform's store before Begin returns Run. After that, every repeat on any node gets
// the recorded answer, in progress or unknown.
//
// Claims are distributed over shards by a hash of the key. A shard is a ring of
// segments, each stored under one platform key. Only the newest segment may be written,
// and every write is a compare-and-swap on it, so a superseded holder's writes fail. A
// lease selects the holder of a shard. The lease avoids conflicting writes, but safety
// does not depend on it. Storage in the platform is bounded by Shards x Segments x
// SegmentBytes plus at most one batch per segment; the holders keep the retained records
// in memory.
//
// In a platform outage no new claims are made: Begin refuses with outcome not-run if the
// shard's holder knows that the key never ran, otherwise unknown. Durable verdicts known
// to the holder are still returned, and finished calls are recorded when the platform is
// available again.
package claim
