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

// cloud is a platform that carries orders out, inside a synctest bubble.
type cloud struct {
	mu    sync.Mutex
	zones map[string]map[Kind]int
	// dry zones have no reclaimable replicas to give.
	dry    map[string]bool
	least  int
	orders int
}

const bootTime = 4 * time.Second

// Order implements Platform.
func (c *cloud) Order(_ context.Context, _ duty.Term, o Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders++
	have := c.zones[o.AvailabilityZone]
	if o.Kind == Reclaimable && o.Replicas > have[Reclaimable] && c.dry[o.AvailabilityZone] {
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

// note remembers the fewest replicas that there ever were. The lock is held.
func (c *cloud) note() {
	all := 0
	for _, kinds := range c.zones {
		all += kinds[OnDemand] + kinds[Reclaimable]
	}
	c.least = min(c.least, all)
}

// observation is what is registered of the first part of the replicas.
func (c *cloud) observation(part float64, busy int) Observation {
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

// reclaim takes the zone's reclaimable replicas away, until wet is called.
func (c *cloud) reclaim(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[zone][Reclaimable] = 0
	c.dry[zone] = true
}

func (c *cloud) wet(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dry[zone] = false
}

// now is the replicas of each zone.
func (c *cloud) now() map[string]map[Kind]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	zones := make(map[string]map[Kind]int, len(c.zones))
	for name, kinds := range c.zones {
		zones[name] = maps.Clone(kinds)
	}
	return zones
}

func newCloud(each int) *cloud {
	c := &cloud{zones: make(map[string]map[Kind]int), dry: make(map[string]bool), least: 3 * each}
	for _, name := range []string{"a", "b", "c"} {
		c.zones[name] = map[Kind]int{OnDemand: each}
	}
	return c
}

// play has a scaler work for a while; observe is what it sees after so long.
func play(t *testing.T, c *cloud, store duty.Store, span time.Duration, observe func(time.Duration) []Observation) {
	t.Helper()
	playStart(t, c, store, span, false, observe)
}

// playStart is play, at a fleet's first start where first is set.
func playStart(t *testing.T, c *cloud, store duty.Store, span time.Duration, first bool, observe func(time.Duration) []Observation) {
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

// held is a store in which the holder's key has the term's fence.
func held(t *testing.T) duty.Store {
	store := dutytest.NewStore(1)
	if _, err := store.Commit(t.Context(), platform.Transaction{Writes: []platform.Write{{Key: "holder"}}}); err != nil {
		t.Fatal(err)
	}
	return store
}

// TestReplicasThatAreNotSeenYetAreNotOrderedAway is a fleet's start: registrations come one
// after the other, the first ones when the duties are held already.
func TestReplicasThatAreNotSeenYetAreNotOrderedAway(t *testing.T) {
	for _, firstAfter := range []time.Duration{0, time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := newCloud(30)
			playStart(t, c, held(t), 40*time.Second, firstAfter > 0, func(passed time.Duration) []Observation {
				part := float64(passed-firstAfter) / float64(3*time.Second)
				return []Observation{c.observation(min(max(part, 0), 1), 0)}
			})
			if c.least < 90 {
				t.Errorf("first seen after %s: %d replicas were left of 90", firstAfter, c.least)
			}
			for zone, kinds := range c.now() {
				if kinds[OnDemand] != 1 || kinds[Reclaimable] < 44 {
					t.Errorf("first seen after %s: zone %s ends with %v, want the on-demand ones replaced", firstAfter, zone, kinds)
				}
			}
		})
	}
}

// TestTheNextHolderGoesOnFromWhatWasWanted takes the duties over while a zone's
// reclaimable replicas have been taken away.
func TestTheNextHolderGoesOnFromWhatWasWanted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCloud(30)
		store := held(t)
		all := func(time.Duration) []Observation { return []Observation{c.observation(1, 0)} }
		play(t, c, store, 30*time.Second, all)
		before := c.now()["a"][Reclaimable]
		c.reclaim("b")
		play(t, c, store, 10*time.Second, all)
		if got := c.now()["a"][Reclaimable]; got < before {
			t.Errorf("%d reclaimable replicas in a zone that lost none, want the %d of before", got, before)
		}
		c.wet("b")
		play(t, c, store, 10*time.Second, all)
		if got := c.now()["b"][Reclaimable]; got < before-5 {
			t.Errorf("%d reclaimable replicas are back in the zone that lost them, want about %d", got, before)
		}
	})
}

// TestAFirstStartIsReadyForTheFirstCallers gives the time until reclaimable replicas serve
// beside those that were there, where callers come some ten seconds after the nodes.
func TestAFirstStartIsReadyForTheFirstCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCloud(30)
		playStart(t, c, held(t), 4*time.Second, true, func(passed time.Duration) []Observation {
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

func TestOldNewsAreNoReplicasThatStand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCloud(30)
		play(t, c, held(t), 20*time.Second, func(time.Duration) []Observation {
			o := c.observation(0.1, 0)
			o.Age = newsAge + time.Second
			return []Observation{o}
		})
		if c.orders != 0 {
			t.Errorf("%d orders by news of %s ago", c.orders, newsAge+time.Second)
		}
	})
}

func TestAStoreThatIsDownOrdersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCloud(30)
		store := dutytest.NewStore(1)
		store.SetFaults(dutytest.StoreFaults{Down: true})
		play(t, c, store, 20*time.Second, func(time.Duration) []Observation { return []Observation{c.observation(1, 0)} })
		if c.orders != 0 {
			t.Errorf("%d orders", c.orders)
		}
		if _, err := store.Get(t.Context(), "holder"); !errors.Is(err, platform.ErrUnavailable) {
			t.Error(err)
		}
	})
}
