// Package quota bounds what each workspace uses at one node: requests and
// estimated tokens a second, from token buckets that hold a few seconds of use.
//
// A node holds a share of each workspace's global quota, set from outside (package
// quotashare), and measures the demand, refused requests included; the
// shares of all nodes should add up to 1. State is sharded by workspace, each
// shard under its own lock; it is safe for concurrent use.
//
// It holds soft state, bounded by the configured workspaces; losing it, as at a
// start, gives each workspace one full bucket again. In a platform outage the
// last quotas and shares go on to hold.
package quota
