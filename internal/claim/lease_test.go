package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/lease"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

const testLeaseTTL = 10 * time.Second

// deadable is the platform as a node reaches it until it dies.
type deadable struct {
	platform.Store
	dead func() bool
}

func (d deadable) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (platform.Entry, error) {
	if d.dead() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return d.Store.CompareAndSwap(ctx, key, expect, value)
}

func (d deadable) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	if d.dead() {
		return platform.Lease{}, platform.ErrUnavailable
	}
	return d.Store.Acquire(ctx, name, holder, ttl)
}

func (d deadable) Renew(ctx context.Context, held platform.Lease) (platform.Lease, error) {
	if d.dead() {
		return platform.Lease{}, platform.ErrUnavailable
	}
	return d.Store.Renew(ctx, held)
}

func (d deadable) Release(ctx context.Context, held platform.Lease) error {
	if d.dead() {
		return platform.ErrUnavailable
	}
	return d.Store.Release(ctx, held)
}

// realLeases gives a ledger the terms of a lease.Source.
type realLeases struct{ source *lease.Source }

func (l realLeases) Acquire(ctx context.Context, name string) (Term, error) {
	term, err := l.source.Acquire(ctx, name)
	if err != nil {
		return nil, err
	}
	return term, nil
}

// onPlatform makes a node use the store with real leases.
func onPlatform(t *testing.T, c *cluster, name string, store platform.Store) func(*Options) {
	return func(options *Options) {
		reached := deadable{Store: store, dead: func() bool {
			node := c.node(name)
			return node != nil && c.isDead(node)
		}}
		metrics, err := lease.NewMetrics(prometheus.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		source, err := lease.NewSource(reached, name+"/run-1", lease.DefaultSettings(testLeaseTTL), metrics, time.Now)
		if err != nil {
			t.Fatal(err)
		}
		options.Store = reached
		options.Leases = realLeases{source: source}
		options.Policy.Shards = 1
	}
}

// TestHolderDies runs on the platform in memory with real leases: after the
// holder's death what it recorded is known, what it had claimed is unknown, and
// new claims run within the lease and a few looks.
func TestHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		store := memstore.New(memstore.Config{})
		nodes := make(map[string]*testNode)
		for _, name := range []string{"n1", "n2", "n3"} {
			nodes[name] = c.start(t, name, onPlatform(t, c, name, store))
		}
		settle()
		recorded, open, fresh := keyNumber(1), keyNumber(2), keyNumber(3)
		expectTold(t, "the first", c.call(t, nodes["n1"], recorded, "body", stepNone), toldRan)
		c.call(t, nodes["n1"], open, "body", stepAfterSend)
		c.prefer("n2")
		died := time.Now()
		for c.call(t, nodes["n3"], fresh, "body", stepNone) != toldRan {
			if time.Since(died) > 2*testLeaseTTL {
				t.Fatal("no claim runs after the holder's death")
			}
		}
		took := time.Since(died)
		t.Logf("claims run again after %v", took)
		if took > testLeaseTTL+3*time.Second {
			t.Errorf("claims run again only after %v", took)
		}
		expectTold(t, "a repeat of the recorded", c.call(t, nodes["n3"], recorded, "body", stepNone), toldRecorded)
		expectTold(t, "a repeat of the open", c.call(t, nodes["n3"], open, "body", stepNone), toldUnknown)
		for key, want := range map[Key]int{recorded: 1, open: 1, fresh: 1} {
			expectRuns(t, c, key, want)
		}
		for _, node := range nodes {
			node.stop()
			<-node.done
		}
	})
}
