package handover

import (
	"context"
	"time"

	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

func (n *simNode) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.cutUntil)
}

func (n *simNode) cutOff(length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutUntil = time.Now().Add(length)
}

// cutStore is the platform as a node that may be cut off reaches it.
type cutStore struct {
	*memstore.Store
	node *simNode
}

func (s *cutStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.node.isCut() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *cutStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Batch, error) {
	if s.node.isCut() {
		return platform.Batch{}, platform.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

func (s *cutStore) List(ctx context.Context, prefix string) ([]platform.Entry, int64, error) {
	if s.node.isCut() {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *cutStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (platform.Entry, error) {
	if s.node.isCut() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value)
}
