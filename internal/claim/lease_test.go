package claim

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/lease"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

const testLeaseTTL = 10 * time.Second

// killableStore is the platform as seen by a node; it is unreachable once dead returns
// true.
type killableStore struct {
	platform.Store
	dead func() bool
}

func (d killableStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (platform.Entry, error) {
	if d.dead() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return d.Store.CompareAndSwap(ctx, key, expect, value)
}

func (d killableStore) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	if d.dead() {
		return platform.Lease{}, platform.ErrUnavailable
	}
	return d.Store.Acquire(ctx, name, holder, ttl)
}

func (d killableStore) Renew(ctx context.Context, held platform.Lease) (platform.Lease, error) {
	if d.dead() {
		return platform.Lease{}, platform.ErrUnavailable
	}
	return d.Store.Renew(ctx, held)
}

func (d killableStore) Release(ctx context.Context, held platform.Lease) error {
	if d.dead() {
		return platform.ErrUnavailable
	}
	return d.Store.Release(ctx, held)
}

type realLeases struct{ source *lease.Source }

func (l realLeases) Acquire(ctx context.Context, name string) (Term, error) {
	term, err := l.source.Acquire(ctx, name)
	if err != nil {
		return nil, err
	}
	return term, nil
}

// useStore configures a node to use the store with real leases.
func useStore(t *testing.T, c *cluster, name string, store platform.Store) func(*Options) {
	return func(options *Options) {
		killable := killableStore{Store: store, dead: func() bool {
			node := c.node(name)
			return node != nil && c.isDead(node)
		}}
		metrics, err := lease.NewMetrics(prometheus.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		source, err := lease.NewSource(killable, name+"/run-1", lease.DefaultSettings(testLeaseTTL), metrics, time.Now)
		if err != nil {
			t.Fatal(err)
		}
		options.Store = killable
		options.Leases = realLeases{source: source}
		options.Policy.Shards = 1
	}
}

// TestHolderDies uses real leases on the in-memory platform. After the holder's death,
// recorded claims stay recorded, in-progress claims become unknown, and new claims run
// once the lease has expired.
func TestHolderDies(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := newCluster()
		store := memstore.New(memstore.Config{})
		nodes := make(map[string]*testNode)
		for _, name := range []string{"n1", "n2", "n3"} {
			nodes[name] = c.start(t, name, useStore(t, c, name, store))
		}
		waitUntilSettled()
		recorded, inProgress, fresh := keyNumber(1), keyNumber(2), keyNumber(3)
		expectResult(t, "the first", c.call(t, nodes["n1"], recorded, "body", stepNone), resultRan)
		c.call(t, nodes["n1"], inProgress, "body", stepAfterSend)
		c.setPreferred("n2")
		died := time.Now()
		for c.call(t, nodes["n3"], fresh, "body", stepNone) != resultRan {
			if time.Since(died) > 2*testLeaseTTL {
				t.Fatal("no claim runs after the holder's death")
			}
		}
		took := time.Since(died)
		t.Logf("claims run again after %v", took)
		if took > testLeaseTTL+3*time.Second {
			t.Errorf("claims run again only after %v", took)
		}
		expectResult(t, "a repeat of the recorded call", c.call(t, nodes["n3"], recorded, "body", stepNone), resultRecorded)
		expectResult(t, "a repeat of the in-progress call", c.call(t, nodes["n3"], inProgress, "body", stepNone), resultUnknown)
		for key, want := range map[Key]int{recorded: 1, inProgress: 1, fresh: 1} {
			expectRuns(t, c, key, want)
		}
		for _, node := range nodes {
			node.stop()
			<-node.done
		}
	})
}
