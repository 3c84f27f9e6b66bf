package autoscale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/duty"
	"galenatrestle/internal/duty/dutytest"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/platform"
)

// fakePlatform carries out orders after a boot delay, inside a synctest bubble.
type fakePlatform struct {
	mu    sync.Mutex
	zones map[string]map[Kind]int
	// exhausted zones have no reclaimable capacity.
	exhausted  map[string]bool
	leastTotal int
	orders     int
}

const bootTime = 4 * time.Second

// Order implements Platform.
func (p *fakePlatform) Order(_ context.Context, _ duty.Term, o Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders++
	have := p.zones[o.AvailabilityZone]
	if o.Kind == Reclaimable && o.Replicas > have[Reclaimable] && p.exhausted[o.AvailabilityZone] {
		return fmt.Errorf("order: %w", platform.ErrConflict)
	}
	if o.Replicas < have[o.Kind] {
		have[o.Kind] = o.Replicas
		p.updateLeast()
		return nil
	}
	time.AfterFunc(bootTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		other := OnDemand
		if o.Kind == OnDemand {
			other = Reclaimable
		}
		have[o.Kind] = min(o.Replicas, 60-have[other])
	})
	return nil
}

// updateLeast updates the lowest total replica count. p.mu must be held.
func (p *fakePlatform) updateLeast() {
	all := 0
	for _, kinds := range p.zones {
		all += kinds[OnDemand] + kinds[Reclaimable]
	}
	p.leastTotal = min(p.leastTotal, all)
}

// observation returns the platform state with the given fraction of each pool registered.
func (p *fakePlatform) observation(fraction float64, busy int) Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := Observation{Upstream: "model", Scaling: *scaling(0.2), Slots: 16, Busy: busy}
	o.Scaling.Boot = bootTime
	for _, name := range o.Scaling.Zones() {
		z := Zone{Name: name, Ready: map[Kind]int{}}
		for kind, n := range p.zones[name] {
			z.Ready[kind] = int(fraction * float64(n))
		}
		o.Zones = append(o.Zones, z)
	}
	return o
}

// reclaim removes the zone's reclaimable replicas and refuses new ones until restore is called.
func (p *fakePlatform) reclaim(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones[zone][Reclaimable] = 0
	p.exhausted[zone] = true
}

func (p *fakePlatform) restore(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exhausted[zone] = false
}

// replicaCounts returns a copy of the replica counts by zone.
func (p *fakePlatform) replicaCounts() map[string]map[Kind]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	zones := make(map[string]map[Kind]int, len(p.zones))
	for name, kinds := range p.zones {
		zones[name] = maps.Clone(kinds)
	}
	return zones
}

func newFakePlatform(each int) *fakePlatform {
	c := &fakePlatform{zones: make(map[string]map[Kind]int), exhausted: make(map[string]bool), leastTotal: 3 * each}
	for _, name := range []string{"a", "b", "c"} {
		c.zones[name] = map[Kind]int{OnDemand: each}
	}
	return c
}

// runScaler runs a scaler for span. observe is called with the time since its start.
func runScaler(t *testing.T, p *fakePlatform, store duty.Store, duration time.Duration, observe func(time.Duration) []Observation) {
	t.Helper()
	runScalerAtStart(t, p, store, duration, false, observe)
}

// runScalerAtStart is runScaler with Options.FirstStart set to first.
func runScalerAtStart(t *testing.T, p *fakePlatform, store duty.Store, duration time.Duration, first bool, observe func(time.Duration) []Observation) {
	t.Helper()
	began := time.Now()
	s := New(Options{
		Store: store, Platform: p, FirstStart: first,
		Observe: func() []Observation { return observe(time.Since(began)) },
		Clock:   func() boottime.Instant { return boottime.Instant(time.Since(began)) + 1 },
		Log:     eventlog.New(io.Discard, "vm-1"),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	s.Run(ctx, duty.Term{Holder: "vm-1", Fence: 1, Key: "holder", Held: func() bool { return true }})
	if err := ctxtime.Sleep(t.Context(), bootTime); err != nil {
		t.Fatal(err)
	}
}

// newHolderStore returns a store in which the revision of the holder's key is the term's fence.
func newHolderStore(t *testing.T) duty.Store {
	store := dutytest.NewStore(1)
	if _, err := store.Commit(t.Context(), platform.Transaction{Writes: []platform.Write{{Key: "holder"}}}); err != nil {
		t.Fatal(err)
	}
	return store
}

// TestUnregisteredReplicasAreNotRemoved guards against removing replicas that have not
// registered yet when a fleet starts.
func TestUnregisteredReplicasAreNotRemoved(t *testing.T) {
	for _, firstAfter := range []time.Duration{0, time.Second, 5 * time.Second} {
		bubbletest.Run(t, func(t *testing.T) {
			p := newFakePlatform(30)
			runScalerAtStart(t, p, newHolderStore(t), 40*time.Second, firstAfter > 0, func(passed time.Duration) []Observation {
				fraction := float64(passed-firstAfter) / float64(3*time.Second)
				return []Observation{p.observation(min(max(fraction, 0), 1), 0)}
			})
			if p.leastTotal < 90 {
				t.Errorf("first seen after %s: %d replicas were left of 90", firstAfter, p.leastTotal)
			}
			for zone, kinds := range p.replicaCounts() {
				if kinds[OnDemand] != 1 || kinds[Reclaimable] < 44 {
					t.Errorf("first seen after %s: zone %s ends with %v, want the on-demand replicas replaced", firstAfter, zone, kinds)
				}
			}
		})
	}
}

// TestNextHolderResumesWantedCapacity guards against a new holder shrinking the capacity
// after a zone lost its reclaimable replicas.
func TestNextHolderResumesWantedCapacity(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		p := newFakePlatform(30)
		store := newHolderStore(t)
		all := func(time.Duration) []Observation { return []Observation{p.observation(1, 0)} }
		runScaler(t, p, store, 30*time.Second, all)
		before := p.replicaCounts()["a"][Reclaimable]
		p.reclaim("b")
		runScaler(t, p, store, 10*time.Second, all)
		if got := p.replicaCounts()["a"][Reclaimable]; got < before {
			t.Errorf("%d reclaimable replicas in a zone that lost none, want the %d of before", got, before)
		}
		p.restore("b")
		runScaler(t, p, store, 10*time.Second, all)
		if got := p.replicaCounts()["b"][Reclaimable]; got < before-5 {
			t.Errorf("%d reclaimable replicas are back in the zone that lost them, want about %d", got, before)
		}
	})
}

// TestFirstStartOrdersReclaimableEarly guards against reclaimable replicas being too late
// for the first requests, which come about ten seconds after the nodes.
func TestFirstStartOrdersReclaimableEarly(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		p := newFakePlatform(30)
		runScalerAtStart(t, p, newHolderStore(t), 4*time.Second, true, func(passed time.Duration) []Observation {
			fraction := float64(passed) / float64(3*time.Second)
			return []Observation{p.observation(min(fraction, 1), 0)}
		})
		for zone, kinds := range p.replicaCounts() {
			if kinds[Reclaimable] < 25 {
				t.Errorf("zone %s: %v eight seconds after the start", zone, kinds)
			}
		}
	})
}

func TestStaleObservationIsNotStable(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		p := newFakePlatform(30)
		runScaler(t, p, newHolderStore(t), 20*time.Second, func(time.Duration) []Observation {
			o := p.observation(0.1, 0)
			o.Age = maxObservationAge + time.Second
			return []Observation{o}
		})
		if p.orders != 0 {
			t.Errorf("%d orders from an observation of age %s", p.orders, maxObservationAge+time.Second)
		}
	})
}

func TestUnavailableStoreOrdersNothing(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		p := newFakePlatform(30)
		store := dutytest.NewStore(1)
		store.SetFaults(dutytest.StoreFaults{Down: true})
		runScaler(t, p, store, 20*time.Second, func(time.Duration) []Observation { return []Observation{p.observation(1, 0)} })
		if p.orders != 0 {
			t.Errorf("%d orders while the store is unavailable, want none", p.orders)
		}
		if _, err := store.Get(t.Context(), "holder"); !errors.Is(err, platform.ErrUnavailable) {
			t.Error(err)
		}
	})
}
