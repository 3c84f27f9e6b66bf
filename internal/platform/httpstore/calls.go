package httpstore

import (
	"bytes"
	"context"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/wire"
)

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, key string) (platform.Entry, error) {
	var entry platform.Entry
	err := c.call(ctx, platform.CallGet, 0, wire.GetRequest{Key: key}, &entry)
	return entry, err
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Entry, int64, error) {
	var list wire.ListResponse
	err := c.call(ctx, platform.CallList, 0, wire.ListRequest{Prefix: prefix}, &list)
	return list.Entries, list.Revision, err
}

// CompareAndSwap implements platform.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (platform.Entry, error) {
	question := wire.CompareAndSwapRequest{Key: key, Expect: expect, Value: value}
	var entry platform.Entry
	if err := c.call(ctx, platform.CallCompareAndSwap, 0, question, &entry); err != nil {
		return platform.Entry{}, err
	}
	entry.Value = bytes.Clone(value)
	return entry, nil
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	question := wire.DeleteRequest{Key: key, Expect: expect}
	return c.call(ctx, platform.CallDelete, 0, question, &wire.Empty{})
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Batch, error) {
	question := wire.WatchRequest{Prefix: prefix, After: after, Wait: config.Duration(wait)}
	var batch platform.Batch
	err := c.call(ctx, platform.CallWatch, wait, question, &batch)
	return batch, err
}

// Acquire implements platform.Store.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	return c.lease(ctx, platform.CallAcquire, platform.Lease{Name: name, Holder: holder, TTL: ttl})
}

// Renew implements platform.Store.
func (c *Client) Renew(ctx context.Context, lease platform.Lease) (platform.Lease, error) {
	return c.lease(ctx, platform.CallRenew, lease)
}

// lease is a call that asks for a lease and gets one.
func (c *Client) lease(ctx context.Context, call platform.Call, asked platform.Lease) (platform.Lease, error) {
	var given wire.Lease
	if err := c.call(ctx, call, 0, wire.FromLease(asked), &given); err != nil {
		return platform.Lease{}, err
	}
	return given.Platform(), nil
}

// Release implements platform.Store.
func (c *Client) Release(ctx context.Context, lease platform.Lease) error {
	return c.call(ctx, platform.CallRelease, 0, wire.FromLease(lease), &wire.Empty{})
}

// Instances implements platform.Instances.
func (c *Client) Instances(ctx context.Context) ([]platform.Instance, error) {
	var list wire.InstancesResponse
	err := c.call(ctx, platform.CallInstances, 0, wire.Empty{}, &list)
	return list.Instances, err
}

// Reserve implements platform.Weights.
func (c *Client) Reserve(ctx context.Context, model, version string) error {
	question := wire.ReserveRequest{Model: model, Version: version}
	return c.call(ctx, platform.CallReserve, 0, question, &wire.Empty{})
}
