package claim

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// The size of the random run.
const (
	randomCallers = 40
	randomKeys    = 2_500
	// randomRepeats is how many requests are made with each key.
	randomRepeats = 4
)

// dice is a seeded source that many goroutines share.
type dice struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (d *dice) below(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

// oneIn is true once in n.
func (d *dice) oneIn(n int) bool { return d.below(n) == 0 }

// chaos injects one random fault after another until stop is closed.
type chaos struct {
	c     *cluster
	dice  *dice
	names []string
	count map[string]int
}

func (x *chaos) run(t *testing.T, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			x.c.store.setDown(false)
			return
		case <-time.After(time.Duration(50+x.dice.below(400)) * time.Millisecond):
		}
		x.inject(t)
	}
}

func (x *chaos) inject(t *testing.T) {
	name := x.names[x.dice.below(len(x.names))]
	switch x.dice.below(6) {
	case 0:
		x.count["restart"]++
		x.restart(t, name)
	case 1:
		x.count["outage"]++
		x.c.store.setDown(true)
		time.Sleep(time.Duration(x.dice.below(4000)) * time.Millisecond)
		x.c.store.setDown(false)
	case 2:
		x.count["lease lapsed, holder told"]++
		x.c.lapse(true)
	case 3:
		x.count["lease lapsed, holder not told"]++
		x.c.lapse(false)
	case 4:
		x.count["owner moved"]++
		x.c.prefer(name)
	case 5:
		x.count["late writes"]++
		x.c.store.deliverLate()
	}
}

// restart kills a node and starts another process of its name.
func (x *chaos) restart(t *testing.T, name string) {
	old := x.c.node(name)
	x.c.kill(old)
	old.stop()
	time.Sleep(time.Duration(x.dice.below(500)) * time.Millisecond)
	x.c.start(t, name, smallRing)
}

// smallRing makes the run go round the rings many times.
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

// TestRandomFaults makes 10,000 calls under random faults and compares what
// the callers were told with the list of calls sent.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomRun(t, seed) })
		})
	}
}

func randomRun(t *testing.T, seed uint64) {
	d := &dice{random: rand.New(rand.NewPCG(seed, 7))}
	c := newCluster()
	c.store.latency = 3 * time.Millisecond
	c.cutBefore = func() bool { return d.oneIn(50) }
	c.cutAfter = func() bool { return d.oneIn(50) }
	c.ends = func() OutcomeKind {
		return []OutcomeKind{OutcomeReleased, OutcomeUnknown, OutcomeRecorded, OutcomeRecorded, OutcomeRecorded}[d.below(5)]
	}
	c.store.setFault(func(string) fault {
		if d.oneIn(10) {
			return []fault{faultDown, faultLost, faultLate}[d.below(3)]
		}
		return faultNone
	})
	x := &chaos{c: c, dice: d, names: []string{"n1", "n2", "n3", "n4"}, count: make(map[string]int)}
	for _, name := range x.names {
		c.start(t, name, smallRing)
	}
	settle()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		x.run(t, stop)
	}()
	tellings := callAll(t, x)
	close(stop)
	<-stopped
	c.checkTruth(t, tellings)
	t.Logf("%v", x.count)
	for _, name := range x.names {
		node := c.node(name)
		node.stop()
		<-node.done
	}
}

// callAll makes all calls from many callers at once and returns what was told
// for each key.
func callAll(t *testing.T, x *chaos) map[Key][]told {
	var mu sync.Mutex
	tellings := make(map[Key][]told)
	work := make(chan Key)
	var group sync.WaitGroup
	for range randomCallers {
		group.Go(func() {
			for key := range work {
				time.Sleep(time.Duration(x.dice.below(100)) * time.Millisecond)
				node := x.c.node(x.names[x.dice.below(len(x.names))])
				got := x.c.call(t, node, key, key.IdempotencyKey, stepNone)
				mu.Lock()
				tellings[key] = append(tellings[key], got)
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
	return tellings
}

// checkTruth compares the tellings with the calls sent.
func (c *cluster) checkTruth(t *testing.T, tellings map[Key][]told) {
	t.Helper()
	calls, twice := 0, 0
	counts := make(map[told]int)
	for key, all := range tellings {
		calls += len(all)
		runs := c.runs(key)
		if runs > 1 {
			twice++
		}
		only := make(map[told]bool)
		for _, got := range all {
			counts[got]++
			only[got] = true
		}
		if len(only) == 1 && only[toldNotRun] && runs != 0 {
			t.Errorf("%v ran though every request was told not-run", key)
		}
		if (only[toldRecorded] || only[toldRan]) && runs != 1 {
			t.Errorf("%v: told %v but ran %d times", key, all, runs)
		}
	}
	if twice != 0 {
		t.Errorf("%d calls ran twice", twice)
	}
	if calls != randomKeys*randomRepeats || counts[toldRan] < calls/20 || counts[toldNotRun] == 0 || counts[toldRecorded] == 0 {
		t.Errorf("the run is too poor: %d calls, %v", calls, counts)
	}
	t.Logf("%d calls, told %v", calls, counts)
}
