package claim

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
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
	c     *cluster
	dice  *lockedRand
	names []string
	count map[string]int
}

func (x *faultInjector) run(t *testing.T, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			x.c.store.setDown(false)
			return
		case <-time.After(time.Duration(50+x.dice.intN(400)) * time.Millisecond):
		}
		x.inject(t)
	}
}

func (x *faultInjector) inject(t *testing.T) {
	name := x.names[x.dice.intN(len(x.names))]
	switch x.dice.intN(6) {
	case 0:
		x.count["restart"]++
		x.restart(t, name)
	case 1:
		x.count["outage"]++
		x.c.store.setDown(true)
		time.Sleep(time.Duration(x.dice.intN(4000)) * time.Millisecond)
		x.c.store.setDown(false)
	case 2:
		x.count["lease expired, holder notified"]++
		x.c.expireLeases(true)
	case 3:
		x.count["lease expired, holder not notified"]++
		x.c.expireLeases(false)
	case 4:
		x.count["owner moved"]++
		x.c.setPreferred(name)
	case 5:
		x.count["late writes"]++
		x.c.store.deliverLate()
	}
}

func (x *faultInjector) restart(t *testing.T, name string) {
	old := x.c.node(name)
	x.c.kill(old)
	old.stop()
	time.Sleep(time.Duration(x.dice.intN(500)) * time.Millisecond)
	x.c.start(t, name, smallRing)
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
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed) })
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	d := &lockedRand{random: rand.New(rand.NewPCG(seed, 7))}
	c := newCluster()
	c.store.latency = 3 * time.Millisecond
	c.cutBefore = func() bool { return d.oneIn(50) }
	c.cutAfter = func() bool { return d.oneIn(50) }
	c.nextOutcome = func() OutcomeKind {
		return []OutcomeKind{OutcomeReleased, OutcomeUnknown, OutcomeRecorded, OutcomeRecorded, OutcomeRecorded}[d.intN(5)]
	}
	c.store.setFault(func(string) fault {
		if d.oneIn(10) {
			return []fault{faultDown, faultLost, faultLate}[d.intN(3)]
		}
		return faultNone
	})
	x := &faultInjector{c: c, dice: d, names: []string{"n1", "n2", "n3", "n4"}, count: make(map[string]int)}
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
	t.Logf("%v", x.count)
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
				time.Sleep(time.Duration(x.dice.intN(100)) * time.Millisecond)
				node := x.c.node(x.names[x.dice.intN(len(x.names))])
				got := x.c.call(t, node, key, key.IdempotencyKey, stepNone)
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
		only := make(map[callResult]bool)
		for _, got := range all {
			counts[got]++
			only[got] = true
		}
		if len(only) == 1 && only[resultNotRun] && runs != 0 {
			t.Errorf("%v ran although every request got not-run", key)
		}
		if (only[resultRecorded] || only[resultRan]) && runs != 1 {
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
