package quotashare

import "github.com/cespare/xxhash/v2"

// Key names a workspace in messages: the XXH64 sum of its name. Two workspaces
// of one key would share their shares, not their quotas.
type Key uint64

// KeyOf returns the key of a workspace.
func KeyOf(workspace string) Key { return Key(xxhash.Sum64String(workspace)) }

// Report states one node's demand of one workspace's quota: the part of it that
// callers ask for, from 0 to 1. Zero withdraws the demand.
type Report struct {
	Key    Key
	Demand float64
}

// Grant is the owner's answer to a Report.
type Grant struct {
	// Share is the part of the quota that the node may use.
	Share float64
	// Contended says that the demands come near the quota.
	Contended bool
}
