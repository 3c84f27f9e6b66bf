package wire

import (
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/platform"
)

// Path returns the URL path of a call.
func Path(call platform.Call) string { return "/platform/v1/" + string(call) }

// GetRequest asks for one key; the answer is a platform.Entry.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest asks for the keys with a prefix.
type ListRequest struct {
	Prefix string `json:"prefix"`
}

// ListResponse answers a ListRequest.
type ListResponse struct {
	Entries  []platform.Entry `json:"entries"`
	Revision int64            `json:"revision"`
}

// CompareAndSwapRequest asks for a write; the answer is a platform.Entry
// without its value, which the writer has.
type CompareAndSwapRequest struct {
	Key    string `json:"key"`
	Expect int64  `json:"expect"`
	Value  []byte `json:"value"`
}

// DeleteRequest asks for a removal; the answer is Empty.
type DeleteRequest struct {
	Key    string `json:"key"`
	Expect int64  `json:"expect"`
}

// WatchRequest asks for changes; the answer is a platform.Batch.
type WatchRequest struct {
	Prefix string          `json:"prefix"`
	After  int64           `json:"after"`
	Wait   config.Duration `json:"wait"`
}

// Lease is a platform.Lease with a readable TTL. It asks for a lease (its
// epoch is then zero), a renewal or a release, and answers the first two.
type Lease struct {
	Name   string          `json:"name"`
	Holder string          `json:"holder"`
	Epoch  int64           `json:"epoch,omitempty"`
	TTL    config.Duration `json:"ttl"`
}

// FromLease returns the message of a lease.
func FromLease(l platform.Lease) Lease {
	return Lease{Name: l.Name, Holder: l.Holder, Epoch: l.Epoch, TTL: config.Duration(l.TTL)}
}

// Platform returns the lease of the message.
func (l Lease) Platform() platform.Lease {
	return platform.Lease{Name: l.Name, Holder: l.Holder, Epoch: l.Epoch, TTL: time.Duration(l.TTL)}
}

// InstancesResponse answers a request for the list of VMs, which is Empty.
type InstancesResponse struct {
	Instances []platform.Instance `json:"instances"`
}

// ReserveRequest asks for a transfer of weights; the answer is Empty.
type ReserveRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Empty is a message without content.
type Empty struct{}
