// Package retry decides what happens after a failed attempt: a new attempt,
// a continuation from the delivered prefix, or a refusal. It also decides when
// a second attempt in parallel (a hedge) is worth its cost.
//
// The decisions are pure: they take the time and start nothing. They hold soft
// state only, in shards under a lock each: ten seconds of counts and two
// latency sketches for each (class, upstream), at most maxKeysPerShard a
// shard. Losing it makes retries scarcer for ten seconds. A platform outage
// changes nothing here.
package retry
