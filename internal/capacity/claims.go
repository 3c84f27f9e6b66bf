package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/claim"
	"galenatrestle/internal/lease"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

const (
	claimNode     = "vm-0"
	claimLeaseTTL = 10 * time.Second
	// claimAnswerBytes is the recorded body of a call.
	claimAnswerBytes = 200
	claimCallers     = 200
	claimWait        = 5 * time.Second
)

// Claims measures a ledger of one node by the number of claims made and
// recorded: bytes in the platform and in memory, and processor time.
func Claims(ctx context.Context, fleet Fleet, claims []int) ([]Slope, error) {
	full, err := claimsWith(ctx, fleet.UnrepeatablePerSecond()*secondsPerHour, claims, claimAnswerBytes)
	if err != nil {
		return nil, err
	}
	bare, err := claimsWith(ctx, fleet.UnrepeatablePerSecond()*secondsPerDay, claims, 0)
	return append(full, bare...), err
}

const secondsPerHour = 3600

// claimsWith records answers of so many bytes.
func claimsWith(ctx context.Context, kept float64, claims []int, answer int) ([]Slope, error) {
	base := Slope{Role: RoleClaims, Against: "claims kept", Target: kept}
	stored, memory, cpu := base, base, base
	stored.Quantity, stored.Unit = fmt.Sprintf("bytes in the platform, answers of %d bytes", answer), "B"
	memory.Quantity, memory.Unit = fmt.Sprintf("heap of the holders, answers of %d bytes", answer), "B"
	cpu.Quantity, cpu.Unit = fmt.Sprintf("processor time of all, answers of %d bytes", answer), "s"
	for _, n := range claims {
		l, err := newLedger(ctx, claim.DefaultPolicy(), answer)
		if err != nil {
			return nil, err
		}
		before := heap()
		used := cpuOf(func() { err = l.makeAll(ctx, n) })
		after := heap()
		stored.add(n, l.bytes(ctx))
		// The platform's stand-in keeps its values in the same heap.
		memory.add(n, max(after-before-l.bytes(ctx), 0))
		cpu.add(n, used.Seconds())
		l.close()
		if err != nil {
			return nil, err
		}
	}
	return fitAll(stored, memory, cpu)
}

// ClaimWrites measures the platform's writes by the claims a second, as long as
// the ledger's budget of writes is not used up.
func ClaimWrites(ctx context.Context, fleet Fleet, rates []int, d time.Duration) ([]Slope, error) {
	base := Slope{Role: RoleClaims, Against: "claims a second", Target: fleet.UnrepeatablePerSecond()}
	writes, bytes, wait := base, base, base
	writes.Quantity, writes.Unit = "writes of the platform", "1/s"
	bytes.Quantity, bytes.Unit = "bytes written to the platform", "B/s"
	wait.Quantity, wait.Unit = "mean time of a claim and its record", "s"
	for _, rate := range rates {
		l, err := newLedger(ctx, claim.DefaultPolicy(), claimAnswerBytes)
		if err != nil {
			return nil, err
		}
		calls, written, waited := l.writes(), l.store.bytes.Load(), l.waited.Load()
		err = l.makeAtRate(ctx, rate, d)
		writes.add(rate, (l.writes()-calls)/d.Seconds())
		bytes.add(rate, float64(l.store.bytes.Load()-written)/d.Seconds())
		wait.add(rate, time.Duration(l.waited.Load()-waited).Seconds()/(float64(rate)*d.Seconds()))
		l.close()
		if err != nil {
			return nil, err
		}
	}
	return fitAll(writes, bytes, wait)
}

// ledger is a claim ledger of one node that holds all shards.
type ledger struct {
	store *writeCounter
	// answer is the bytes of each recorded body.
	answer int
	node   *claim.Node
	stop   context.CancelFunc
	done   sync.WaitGroup
	next   atomic.Int64
	// waited is the time of all claims and records, in nanoseconds.
	waited atomic.Int64
}

// writeCounter counts the bytes written to the platform.
type writeCounter struct {
	*memstore.Store
	bytes atomic.Int64
}

// CompareAndSwap implements platform.Store.
func (c *writeCounter) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (platform.Entry, error) {
	c.bytes.Add(int64(len(value)))
	return c.Store.CompareAndSwap(ctx, key, expect, value)
}

func newLedger(ctx context.Context, policy claim.Policy, answer int) (*ledger, error) {
	l := &ledger{answer: answer, store: &writeCounter{Store: memstore.New(memstore.Config{WritesPerSecond: 1e6, ReadsPerSecond: 1e6, LogEvents: 1, LogBytes: 1})}}
	metrics, err := lease.NewMetrics(prometheus.NewRegistry())
	if err != nil {
		return nil, err
	}
	source, err := lease.NewSource(l.store, claimNode+"/run", lease.DefaultSettings(claimLeaseTTL), metrics, time.Now)
	if err != nil {
		return nil, err
	}
	self := membership.Member{Name: claimNode, PeerAddress: claimNode, State: membership.StateServing}
	table := membership.NewTable(self, membership.Settings{}, rand.New(rand.NewPCG(1, 1)), time.Now())
	l.node, err = claim.NewNode(claim.Options{
		Policy: policy, Store: l.store, Leases: claimLeases{source}, View: table.Snapshot(), Random: rand.New(rand.NewPCG(1, 2)),
		BeginTimeout: patience, CallTimeout: patience, Log: silentLog(),
	})
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	l.stop = stop
	l.done.Go(func() { _ = l.node.Run(running) })
	return l, l.awaitHeld(ctx)
}

// claimLeases gives the ledger the terms of a lease.Source.
type claimLeases struct{ source *lease.Source }

// Acquire implements claim.Leases.
func (c claimLeases) Acquire(ctx context.Context, name string) (claim.Term, error) {
	term, err := c.source.Acquire(ctx, name)
	if err != nil {
		return nil, err
	}
	return term, nil
}

// patience keeps a loaded machine from failing a measurement: no figure comes
// from these timeouts.
const patience = time.Minute

// silentLog drops the warnings of a ledger that is filled on purpose.
func silentLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// errNoLedger says that no claim could be made.
var errNoLedger = errors.New("capacity: the ledger took no claim")

// awaitHeld makes claims until all shards have taken one.
func (l *ledger) awaitHeld(ctx context.Context) error {
	until := time.Now().Add(claimWait)
	for taken := 0; taken < 4*claim.DefaultShards; {
		if time.Now().After(until) {
			return errNoLedger
		}
		if l.one(ctx) == nil {
			taken++
		}
	}
	return nil
}

// one claims a call and records its answer.
func (l *ledger) one(ctx context.Context) error {
	begun := time.Now()
	defer func() { l.waited.Add(int64(time.Since(begun))) }()
	i := l.next.Add(1)
	key := claim.Key{
		Workspace: workspaceName(int(i % 11000)), Upstream: "member-ledger",
		IdempotencyKey: fmt.Sprintf("0190c2a4-7b1e-7000-8000-%012x", i),
	}
	body := make([]byte, l.answer)
	grant, err := l.node.Begin(ctx, key, claim.FingerprintOf(http.MethodPost, "/claims", body))
	if err != nil {
		return err
	}
	return l.node.Finish(ctx, grant.Token, claim.Outcome{
		Kind:   claim.OutcomeRecorded,
		Answer: claim.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: body},
	})
}

// makeAll makes n claims from several callers at once.
func (l *ledger) makeAll(ctx context.Context, n int) error {
	var callers sync.WaitGroup
	var left atomic.Int64
	var first atomic.Pointer[error]
	left.Store(int64(n))
	for range claimCallers {
		callers.Go(func() {
			for left.Add(-1) >= 0 {
				if err := l.one(ctx); err != nil {
					first.CompareAndSwap(nil, &err)
					return
				}
			}
		})
	}
	callers.Wait()
	if err := first.Load(); err != nil {
		return *err
	}
	return nil
}

// makeAtRate makes claims in open loop.
func (l *ledger) makeAtRate(ctx context.Context, rate int, d time.Duration) error {
	var callers sync.WaitGroup
	var first atomic.Pointer[error]
	begun := time.Now()
	for i := range int(float64(rate) * d.Seconds()) {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		callers.Go(func() {
			if err := l.one(ctx); err != nil {
				first.CompareAndSwap(nil, &err)
			}
		})
	}
	callers.Wait()
	if err := first.Load(); err != nil {
		return *err
	}
	return nil
}

func (l *ledger) bytes(ctx context.Context) float64 {
	entries, _, err := l.store.List(ctx, "")
	if err != nil {
		return 0
	}
	sum := 0.0
	for _, e := range entries {
		sum += float64(len(e.Value))
	}
	return sum
}

func (l *ledger) writes() float64 {
	return float64(l.store.Calls()[platform.CallCompareAndSwap].Calls)
}

func (l *ledger) close() {
	l.stop()
	l.done.Wait()
}
