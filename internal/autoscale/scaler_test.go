package autoscale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
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
	exhausted map[string]bool
	least     int
	orders    int
}

const bootTime = 4 * time.Second

// Order implements Platform.
func (c *fakePlatform) Order(_ context.Context, _ duty.Term, o Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders++
	have := c.zones[o.AvailabilityZone]
	if o.Kind == Reclaimable && o.Replicas > have[Reclaimable] && c.exhausted[o.AvailabilityZone] {
		return fmt.Errorf("order: %w", platform.ErrConflict)
	}
	if o.Replicas < have[o.Kind] {
		have[o.Kind] = o.Replicas
		c.note()
		return nil
	}
	time.AfterFunc(bootTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		other := OnDemand
		if o.Kind == OnDemand {
			other = Reclaimable
		}
		have[o.Kind] = min(o.Replicas, 60-have[other])
	})
	return nil
}

// note updates the lowest total replica count. c.mu must be held.
func (c *fakePlatform) note() {
	all := 0
	for _, kinds := range c.zones {
		all += kinds[OnDemand] + kinds[Reclaimable]
	}
	c.least = min(c.least, all)
}

// observation returns the platform state with only the given fraction of each pool registered.
func (c *fakePlatform) observation(part float64, busy int) Observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := Observation{Upstream: "model", Scaling: *scaling(0.2), Slots: 16, Busy: busy}
	o.Scaling.Boot = bootTime
	for _, name := range o.Scaling.Zones() {
		z := Zone{Name: name, Ready: map[Kind]int{}}
		for kind, n := range c.zones[name] {
			z.Ready[kind] = int(part * float64(n))
		}
		o.Zones = append(o.Zones, z)
	}
	return o
}

// reclaim removes the zone's reclaimable replicas and refuses new ones until restore is called.
func (c *fakePlatform) reclaim(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[zone][Reclaimable] = 0
	c.exhausted[zone] = true
}

func (c *fakePlatform) restore(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exhausted[zone] = false
}

// now returns a copy of the replica counts by zone.
func (c *fakePlatform) now() map[string]map[Kind]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	zones := make(map[string]map[Kind]int, len(c.zones))
	for name, kinds := range c.zones {
		zones[name] = maps.Clone(kinds)
	}
	return zones
}

func newCloud(each int) *fakePlatform {
	c := &fakePlatform{zones: make(map[string]map[Kind]int), exhausted: make(map[string]bool), least: 3 * each}
	for _, name := range []string{"a", "b", "c"} {
		c.zones[name] = map[Kind]int{OnDemand: each}
	}
	return c
}

// runScaler runs a scaler for span. observe is called with the time since its start.
func runScaler(t *testing.T, c *fakePlatform, store duty.Store, span time.Duration, observe func(time.Duration) []Observation) {
	t.Helper()
	runScalerAtStart(t, c, store, span, false, observe)
}

// runScalerAtStart is runScaler with Options.FirstStart set to first.
func runScalerAtStart(t *testing.T, c *fakePlatform, store duty.Store, span time.Duration, first bool, observe func(time.Duration) []Observation) {
	t.Helper()
	began := time.Now()
	s := New(Options{
		Store: store, Platform: c, FirstStart: first,
		Observe: func() []Observation { return observe(time.Since(began)) },
		Clock:   func() boottime.Instant { return boottime.Instant(time.Since(began)) + 1 },
		Log:     eventlog.New(io.Discard, "vm-1"),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	ctx, cancel := context.WithTimeout(t.Context(), span)
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
		synctest.Test(t, func(t *testing.T) {
			c := newCloud(30)
			runScalerAtStart(t, c, newHolderStore(t), 40*time.Second, firstAfter > 0, func(passed time.Duration) []Observation {
				part := float64(passed-firstAfter) / float64(3*time.Second)
				return []Observation{c.observation(min(max(part, 0), 1), 0)}
			})
			if c.least < 90 {
				t.Errorf("first seen after %s: %d replicas were left of 90", firstAfter, c.least)
			}
			for zone, kinds := range c.now() {
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
	synctest.Test(t, func(t *testing.T) {
		c := newCloud(30)
		store := newHolderStore(t)
		all := func(time.Duration) []Observation { return []Observation{c.observation(1, 0)} }
		runScaler(t, c, store, 30*time.Second, all)
		before := c.now()["a"][Reclaimable]
		c.reclaim("b")
		runScaler(t, c, store, 10*time.Second, all)
		if got := c.now()["a"][Reclaimable]; got < before {
			t.Errorf("%d reclaimable replicas in a zone that lost none, want the %d of before", got, before)
		}
		c.restore("b")
		runScaler(t, c, store, 10*time.Second, all)
		if got := c.now()["b"][Reclaimable]; got < before-5 {
			t.Errorf("%d reclaimable replicas are back in the zone that lost them, want about %d", got, before)
		}
	})
}

// TestFirstStartOrdersReclaimableEarly guards against reclaimable replicas being too late
// for the first requests, which come about ten seconds after the nodes.
func TestFirstStartOrdersReclaimableEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCloud(30)
		runScalerAtStart(t, c, newHolderStore(t), 4*time.Second, true, func(passed time.Duration) []Observation {
			part := float64(passed) / float64(3*time.Second)
			return []Observation{c.observation(min(part, 1), 0)}
		})
		for zone, kinds := range c.now() {
			if kinds[Reclaimable] < 25 {
				t.Errorf("zone %s: %v eight seconds after the start", zone, kinds)
			}
		}
	})
}

func TestStaleObservationIsNotStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCloud(30)
		runScaler(t, c, newHolderStore(t), 20*time.Second, func(time.Duration) []Observation {
			o := c.observation(0.1, 0)
			o.Age = maxObservationAge + time.Second
			return []Observation{o}
		})
		if c.orders != 0 {
			t.Errorf("%d orders from an observation of age %s", c.orders, maxObservationAge+time.Second)
		}
	})
}

func TestUnavailableStoreOrdersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCloud(30)
		store := dutytest.NewStore(1)
		store.SetFaults(dutytest.StoreFaults{Down: true})
		runScaler(t, c, store, 20*time.Second, func(time.Duration) []Observation { return []Observation{c.observation(1, 0)} })
		if c.orders != 0 {
			t.Errorf("%d orders", c.orders)
		}
		if _, err := store.Get(t.Context(), "holder"); !errors.Is(err, platform.ErrUnavailable) {
			t.Error(err)
		}
	})
}
