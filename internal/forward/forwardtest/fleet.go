package forwardtest

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/fairshare"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/pause"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/retrybudget"
)

// Fleet is a forwarder connected to scripted replicas.
type Fleet struct {
	*forward.Forwarder
	Set     *replica.Set
	Conns   *replicaconn.Pool
	Budget  *retrybudget.Budget
	Tracker *quarantine.Tracker
	Causes  *crashcause.Tracker
	Permits *ratelimit.Permits
	Metrics *prometheus.Registry
	// OnDial is called before each new connection; may be nil.
	OnDial func(address string)

	mu       sync.Mutex
	replicas map[string]*Replica
	revision int64
}

// NewFleet returns a forwarder for the replicas, with a fixed random seed for
// placement. The replicas are stopped when the test ends.
func NewFleet(t testing.TB, replicas ...*Replica) *Fleet {
	for _, r := range replicas {
		t.Cleanup(r.Crash)
	}
	return NewNode("test", replicas...)
}

// NewNode returns the forwarder of the named node. Nodes may share replicas.
func NewNode(name string, replicas ...*Replica) *Fleet {
	return NewNodeWith(name, nil, replicas...)
}

// NewSharingNode returns the forwarder of a node that divides upstreams by workspace and writes the log.
func NewSharingNode(log *eventlog.Log, sharing *fairshare.Sharing, replicas ...*Replica) *Fleet {
	return NewNodeWith("test", func(o *forward.Options) { o.Log, o.FairShare = log, sharing }, replicas...)
}

// NewNodeWith returns the forwarder of the named node with changed options.
func NewNodeWith(name string, change func(*forward.Options), replicas ...*Replica) *Fleet {
	f := &Fleet{Set: replica.NewSet(), replicas: make(map[string]*Replica), Tracker: quarantine.NewTracker(name, 0), Causes: crashcause.NewTracker(0, nil, nil), Metrics: prometheus.NewRegistry()}
	f.SetReplicas(replicas...)
	f.Conns = replicaconn.NewPool(f.dial, nil)
	f.Budget = retrybudget.New(retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second, Allowance: 40, Nodes: 1}, time.Time{})
	limits := ratelimit.NewTable(func() boottime.Instant { return boottime.Instant(time.Now().UnixNano()) })
	f.Permits = ratelimit.NewPermits(limits)
	placer := placement.NewPlacer("", f.Set, rand.New(rand.NewPCG(1, 1)))
	placer.SetPermits(f.Permits)
	pauses := new(pause.Table)
	placer.SetPauses(pauses)
	log := eventlog.New(io.Discard, name)
	options := forward.Options{
		Placer:   placer,
		Replicas: f.Set, Conns: f.Conns, Codec: Codec{}, Budget: f.Budget,
		CrashGuard: forward.NewCrashGuard(forward.CrashGuardOptions{
			Tracker: f.Tracker, Causes: f.Causes, Probe: f.probe, OnCrash: func([]quarantine.Record) {}, OnRepeatedCrash: func() {}, Log: log, Registry: f.Metrics,
		}),
		RateLimits: limits, Permits: f.Permits, Pauses: pauses,
		Ask: f.probe, Log: log, Registry: f.Metrics,
	}
	if change != nil {
		change(&options)
	}
	f.Forwarder = forward.New(options)
	return f
}

// SetReplicas replaces the list of registered replicas.
func (f *Fleet) SetReplicas(replicas ...*Replica) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	listing := replica.Listing{Revision: f.revision}
	for _, r := range replicas {
		f.replicas[r.Address] = r
		listing.Replicas = append(listing.Replicas, r.Replica)
	}
	now := boottime.Instant(f.revision) * boottime.Instant(time.Millisecond)
	f.Set.Update(listing, now, now)
}

func (f *Fleet) probe(ctx context.Context, r replica.Replica) error {
	return f.Conns.Probe(ctx, r.ID, r.Address)
}

func (f *Fleet) dial(_ context.Context, address string) (net.Conn, error) {
	if f.OnDial != nil {
		f.OnDial(address)
	}
	f.mu.Lock()
	r := f.replicas[address]
	f.mu.Unlock()
	conn, up := r.connect()
	if !up {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	return conn, nil
}
