package claim

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
)

const (
	randomCallers = 40
	randomKeys    = 2_500
	randomRepeats = 4
)

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (d *lockedRand) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

func (d *lockedRand) oneIn(n int) bool { return d.intN(n) == 0 }

// faultInjector injects random faults one after another until stop is closed.
type faultInjector struct {
	target *cluster
	rng    *lockedRand
	names  []string
	counts map[string]int
}

func (x *faultInjector) run(t *testing.T, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			x.target.store.setDown(false)
			return
		case <-time.After(time.Duration(50+x.rng.intN(400)) * time.Millisecond):
		}
		x.inject(t)
	}
}

func (x *faultInjector) inject(t *testing.T) {
	name := x.names[x.rng.intN(len(x.names))]
	switch x.rng.intN(6) {
	case 0:
		x.counts["restart"]++
		x.restart(t, name)
	case 1:
		x.counts["outage"]++
		x.target.store.setDown(true)
		time.Sleep(time.Duration(x.rng.intN(4000)) * time.Millisecond)
		x.target.store.setDown(false)
	case 2:
		x.counts["lease expired, holder notified"]++
		x.target.expireLeases(true)
	case 3:
		x.counts["lease expired, holder not notified"]++
		x.target.expireLeases(false)
	case 4:
		x.counts["preferred holder changed"]++
		x.target.setPreferred(name)
	case 5:
		x.counts["late writes"]++
		x.target.store.deliverLate()
	}
}

func (x *faultInjector) restart(t *testing.T, name string) {
	old := x.target.node(name)
	x.target.kill(old)
	old.stop()
	time.Sleep(time.Duration(x.rng.intN(500)) * time.Millisecond)
	x.target.start(t, name, smallRing)
}

// smallRing makes the rings wrap around many times during the run.
func smallRing(options *Options) {
	options.Policy.Shards = 2
	options.Policy.Segments = 64
	options.Policy.SegmentBytes = 8 << 10
}

func (c *cluster) node(name string) *testNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

// TestRandomFaults makes 10,000 calls under random faults and compares the callers'
// results with the calls that ran.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) { runRandomFaults(t, seed) })
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	d := &lockedRand{random: rand.New(rand.NewPCG(seed, 7))}
	c := newCluster()
	c.store.latency = 3 * time.Millisecond
	c.dropRequest = func() bool { return d.oneIn(50) }
	c.dropReply = func() bool { return d.oneIn(50) }
	c.nextOutcome = func() OutcomeKind {
		return []OutcomeKind{OutcomeReleased, OutcomeUnknown, OutcomeRecorded, OutcomeRecorded, OutcomeRecorded}[d.intN(5)]
	}
	c.store.setFault(func(string) fault {
		if d.oneIn(10) {
			return []fault{faultDown, faultLost, faultLate}[d.intN(3)]
		}
		return faultNone
	})
	x := &faultInjector{target: c, rng: d, names: []string{"n1", "n2", "n3", "n4"}, counts: make(map[string]int)}
	for _, name := range x.names {
		c.start(t, name, smallRing)
	}
	waitUntilSettled()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		x.run(t, stop)
	}()
	results := makeCalls(t, x)
	close(stop)
	<-stopped
	c.checkResults(t, results)
	t.Logf("%v", x.counts)
	for _, name := range x.names {
		node := c.node(name)
		node.stop()
		<-node.done
	}
}

func makeCalls(t *testing.T, x *faultInjector) map[Key][]callResult {
	var mu sync.Mutex
	results := make(map[Key][]callResult)
	work := make(chan Key)
	var group sync.WaitGroup
	for range randomCallers {
		group.Go(func() {
			for key := range work {
				time.Sleep(time.Duration(x.rng.intN(100)) * time.Millisecond)
				node := x.target.node(x.names[x.rng.intN(len(x.names))])
				got := x.target.call(t, node, key, key.IdempotencyKey, stepNone)
				mu.Lock()
				results[key] = append(results[key], got)
				mu.Unlock()
			}
		})
	}
	for first := 0; first < randomKeys; first += 10 {
		for range randomRepeats {
			for number := first; number < first+10; number++ {
				work <- Key{Workspace: "w", Upstream: "u", IdempotencyKey: fmt.Sprint("key-", number)}
			}
		}
	}
	close(work)
	group.Wait()
	return results
}

func (c *cluster) checkResults(t *testing.T, results map[Key][]callResult) {
	t.Helper()
	calls, twice := 0, 0
	counts := make(map[callResult]int)
	for key, all := range results {
		calls += len(all)
		runs := c.runs(key)
		if runs > 1 {
			twice++
		}
		distinct := make(map[callResult]bool)
		for _, got := range all {
			counts[got]++
			distinct[got] = true
		}
		if len(distinct) == 1 && distinct[resultNotRun] && runs != 0 {
			t.Errorf("%v ran although every request got not-run", key)
		}
		if (distinct[resultRecorded] || distinct[resultRan]) && runs != 1 {
			t.Errorf("%v: callers got %v but it ran %d times", key, all, runs)
		}
	}
	if twice != 0 {
		t.Errorf("%d calls ran twice", twice)
	}
	if calls != randomKeys*randomRepeats || counts[resultRan] < calls/20 || counts[resultNotRun] == 0 || counts[resultRecorded] == 0 {
		t.Errorf("the run covers too few results: %d calls, %v", calls, counts)
	}
	t.Logf("%d calls, results %v", calls, counts)
}
