package lease

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

const (
	ttl  = 16 * time.Second
	duty = "duty"
)

// cutStore simulates one process's connection to the platform, which can be cut.
type cutStore struct {
	*memstore.Store
	cut atomic.Bool
}

func (c *cutStore) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	if c.cut.Load() {
		return platform.Lease{}, platform.ErrUnavailable
	}
	return c.Store.Acquire(ctx, name, holder, ttl)
}

func (c *cutStore) Renew(ctx context.Context, lease platform.Lease) (platform.Lease, error) {
	if c.cut.Load() {
		return platform.Lease{}, platform.ErrUnavailable
	}
	return c.Store.Renew(ctx, lease)
}

// process is one contender with a clock that can jump.
type process struct {
	store  *cutStore
	holder *Holder
	jump   atomic.Int64
	// gained and lost are the epoch and reason of the last callbacks.
	gained atomic.Int64
	lost   atomic.Value
	stop   context.CancelFunc
	ended  chan error
}

func (p *process) now() time.Time { return time.Now().Add(time.Duration(p.jump.Load())) }

func (p *process) held() (int64, bool) { return p.holder.Held(p.now()) }

// startProcess runs a contender until the test ends.
func startProcess(t *testing.T, store *memstore.Store, name string) *process {
	t.Helper()
	return startPreferring(t, store, name, always)
}

// startPreferring is startProcess with a function that says whether the process
// is preferred.
func startPreferring(t *testing.T, store *memstore.Store, name string, preferred func() bool) *process {
	t.Helper()
	p := &process{store: &cutStore{Store: store}, ended: make(chan error, 1)}
	p.lost.Store(EndReason(""))
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	source, err := NewSource(p.store, name, DefaultSettings(ttl), metrics, p.now)
	if err != nil {
		t.Fatal(err)
	}
	p.holder = NewHolder(source, duty, Callbacks{
		OnGained: func(ctx context.Context, epoch int64) {
			if ctx.Err() != nil {
				t.Errorf("%s: the context of term %d had ended", name, epoch)
			}
			p.gained.Store(epoch)
		},
		OnLost: func(_ int64, reason EndReason) { p.lost.Store(reason) },
	}, rand.New(rand.NewPCG(1, uint64(len(name)))))
	p.holder.SetPreferred(preferred)
	ctx, cancel := context.WithCancel(t.Context())
	p.stop = cancel
	go func() { p.ended <- p.holder.Run(ctx) }()
	return p
}
