// Package quota limits the requests and estimated tokens per second of each
// workspace at one node, using token buckets with a burst of a few seconds.
//
// A node enforces its share of each workspace's global quota and measures the
// demand, including refused requests. Package quotashare sets the shares, which
// should add up to 1 over all nodes. State is sharded by workspace, one lock per
// shard, and is safe for concurrent use.
//
// State is in memory only and bounded by the number of configured workspaces.
// After a restart each workspace starts with a full bucket. During a platform
// outage the last known quotas and shares stay in force.
package quota
