package configsync

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"galenatrestle/internal/platform/memstore"
)

// inForceBound is the promise to operators at eight nodes.
const inForceBound = 5 * time.Second

func TestInForceWhereHalfLostThePlatform(t *testing.T) {
	for _, lost := range []struct {
		name string
		cut  func(random *rand.Rand) func(from, to, message string) bool
	}{
		{"notices arrive", nil},
		{"half of all messages lost", func(random *rand.Rand) func(string, string, string) bool {
			return func(string, string, string) bool { return random.IntN(2) == 0 }
		}},
		{"no notice arrives", func(*rand.Rand) func(string, string, string) bool {
			return func(_, _, message string) bool { return message == messageNotify }
		}},
	} {
		t.Run(lost.name, func(t *testing.T) {
			bubble(t, 8, func(t *testing.T, c *cluster) {
				random := rand.New(rand.NewPCG(7, 7))
				if lost.cut != nil {
					c.setCut(lost.cut(random))
				}
				// The watchers vm-0 and vm-3 are among those that lost it.
				for _, n := range c.nodes[:4] {
					n.store.down.Store(true)
				}
				var took []time.Duration
				for change := range 100 {
					record := c.nodes[4+change%4].accept(change + 1)
					took = append(took, c.awaitAll(record.Revision))
				}
				slices.Sort(took)
				t.Logf("in force everywhere: p50 %s, p99 %s, longest %s", took[50], took[98], took[99])
				if took[99] > inForceBound {
					t.Errorf("took %s, the bound is %s", took[99], inForceBound)
				}
			})
		})
	}
}

// TestLostPullsDelayAChangeByChecksNotPeriods: a node that gets no notice and
// loses three of four pulls repeats them at its next checks.
func TestLostPullsDelayAChangeByChecksNotPeriods(t *testing.T) {
	const bound = 5 * exchangePeriod / 2
	bubble(t, 4, func(t *testing.T, c *cluster) {
		c.nodes[2].store.down.Store(true)
		pulls := 0
		c.setCut(func(from, to, message string) bool {
			if from != "vm-2" || message != messagePull {
				return to == "vm-2" && message == messageNotify
			}
			pulls++
			return pulls%4 != 0
		})
		for change := range 20 {
			record := c.nodes[1].accept(change + 1)
			if took := c.awaitAll(record.Revision); took > bound {
				t.Errorf("change %d took %s, the bound is %s", change, took, bound)
			}
		}
	})
}

func TestNodeThatStartsInAnOutageTakesTheNewestFromPeers(t *testing.T) {
	bubble(t, 4, func(t *testing.T, c *cluster) {
		record := c.nodes[0].accept(1)
		c.awaitAll(record.Revision)
		if err := c.store.Inject(memstore.Fault{Kind: memstore.Down}); err != nil {
			t.Fatal(err)
		}
		c.nodes[2].halt()
		fresh := c.newNode("vm-2", 9)
		c.mu.Lock()
		c.nodes[2] = fresh
		c.mu.Unlock()
		fresh.start()
		if took := c.awaitAll(record.Revision); took > inForceBound {
			t.Errorf("took %s", took)
		}
		if got := fresh.state.State().ID; got != record.ID {
			t.Errorf("took write %s, want %s", got, record.ID)
		}
	})
}

// TestNeverReverts restores the platform to an older configuration and restarts
// a node on it.
func TestNeverReverts(t *testing.T) {
	bubble(t, 4, func(t *testing.T, c *cluster) {
		for weight := range 3 {
			c.awaitAll(c.nodes[0].accept(weight + 1).Revision)
		}
		restored := memstore.New(memstore.Config{})
		for _, n := range c.nodes {
			n.halt()
			n.store.Store = restored
		}
		old := newCluster(t, 1)
		old.store = restored
		old.nodes[0].store.Store = restored
		old.nodes[0].accept(9)
		// One of the nodes starts anew; the others go on.
		fresh := c.newNode("vm-1", 5)
		fresh.store.Store = restored
		c.nodes[1] = fresh
		c.start()
		for range 60 {
			time.Sleep(time.Second)
			for _, n := range c.nodes {
				revision := n.state.Revision()
				if revision != 3 && !(n == fresh && revision == 0) {
					t.Fatalf("%s has revision %d in force", n.name, revision)
				}
			}
		}
		if fresh.state.Revision() != 3 {
			t.Error("the node that started anew has not taken the newest from its peers")
		}
		c.refusedUntilAbove(t)
	})
}

// refusedUntilAbove checks that a restored platform accepts only by an
// operator's decision, and then above what is in force.
func (c *cluster) refusedUntilAbove(t *testing.T) {
	t.Helper()
	request := Request{Document: document(t, 7), Author: "erzsi"}
	_, err := c.nodes[0].Propose(t.Context(), request)
	var behind *BehindError
	if !asError(err, &behind) || behind.Platform != 1 || behind.Known != 3 {
		t.Fatalf("got %v", err)
	}
	request.AboveRestored = true
	record, err := c.nodes[0].Accept(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	if record.Revision != 4 {
		t.Errorf("accepted as revision %d, want 4", record.Revision)
	}
	c.awaitAll(4)
}

func TestStalePeerIsIgnored(t *testing.T) {
	bubble(t, 2, func(t *testing.T, c *cluster) {
		c.awaitAll(c.nodes[0].accept(1).Revision)
		old := c.nodes[0].state.State()
		c.awaitAll(c.nodes[0].accept(2).Revision)
		notice := noticeOf(old)
		if got := c.nodes[1].AnswerNotify(notice).GetRevision(); got != 2 {
			t.Errorf("revision %d after a stale notice", got)
		}
		notice.Newest.Revision = 2
		if got := c.nodes[1].AnswerNotify(notice).GetRevision(); got != 2 {
			t.Errorf("revision %d after a diverged notice", got)
		}
		if got := counted(t, c.nodes[1].metrics.ignored, string(ignoredDiverged)); got != 1 {
			t.Errorf("diverged counted %v times", got)
		}
	})
}

func TestWrongSumIsNotTaken(t *testing.T) {
	bubble(t, 2, func(t *testing.T, c *cluster) {
		c.awaitAll(c.nodes[0].accept(1).Revision)
		response, err := c.nodes[0].AnswerPull(noHave())
		if err != nil {
			t.Fatal(err)
		}
		response.Newest.Revision = 5
		response.Newest.Sum[0] ^= 1
		if taken, err := c.nodes[1].takeResponse(response); taken || err == nil {
			t.Errorf("taken %v, error %v", taken, err)
		}
		if got := c.nodes[1].state.Revision(); got != 1 {
			t.Errorf("revision %d in force", got)
		}
		if got := counted(t, c.nodes[1].metrics.ignored, string(ignoredSum)); got != 1 {
			t.Errorf("wrong sums counted %v times", got)
		}
	})
}

func TestInForceCountsMembers(t *testing.T) {
	bubble(t, 8, func(t *testing.T, c *cluster) {
		c.awaitAll(c.nodes[0].accept(1).Revision)
		c.setCut(func(_, to, _ string) bool { return to == "vm-5" || to == "vm-6" })
		record := c.nodes[0].accept(2)
		inForce, members := c.nodes[0].InForce(record.Revision)
		if inForce != 6 || members != 8 {
			t.Errorf("in force on %d of %d right after a cut, want 6 of 8", inForce, members)
		}
		c.setCut(func(string, string, string) bool { return false })
		c.awaitAll(record.Revision)
	})
}

// idleTime is how long the cost of having nothing to do is counted.
const idleTime = 40 * time.Second

// TestCostOfAChange counts messages, bytes and calls to the platform, at rest
// and for changes of one workspace.
func TestCostOfAChange(t *testing.T) {
	for _, nodes := range []int{8, 60} {
		t.Run(fmt.Sprintf("nodes=%d", nodes), func(t *testing.T) {
			bubble(t, nodes, func(t *testing.T, c *cluster) {
				c.awaitAll(c.nodes[1].accept(1).Revision)
				time.Sleep(idleTime)
				c.checkIdle(t)
				c.checkChanges(t)
			})
		})
	}
}

func (c *cluster) checkIdle(t *testing.T) {
	t.Helper()
	nodes, seconds := float64(len(c.nodes)), idleTime.Seconds()
	before := c.cost(t)
	time.Sleep(idleTime)
	idle := c.cost(t).minus(before)
	t.Logf("idle: %.2f messages and %.1f bytes a node and second", idle.messages/seconds/nodes, idle.bytes/seconds/nodes)
	t.Logf("idle: %.2f reads and %.2f watches of the platform a second, all nodes together", idle.reads/seconds, idle.watches/seconds)
	// Each poll is jittered by a quarter; two nodes own the watches.
	if most := 1.35 * pollsPerSecond; idle.reads/seconds > most {
		t.Errorf("%.2f reads a second, the budget is %.2f", idle.reads/seconds, most)
	}
	if most := 2 * (idleTime.Seconds()/watchWait.Seconds() + 1); idle.watches > most {
		t.Errorf("%.0f watches, the most is %.0f", idle.watches, most)
	}
}

func (c *cluster) checkChanges(t *testing.T) {
	t.Helper()
	const changes = 10
	nodes := float64(len(c.nodes))
	before := c.cost(t)
	for change := range changes {
		c.awaitAll(c.nodes[1].accept(change + 2).Revision)
		time.Sleep(time.Second)
	}
	spent := c.cost(t).minus(before)
	t.Logf("one change: %.1f messages and %.0f bytes sent or received a node, at the acceptor %.0f messages and %.0f bytes",
		spent.messages/changes/nodes, spent.bytes/changes/nodes, spent.acceptorMessages/changes, spent.acceptorBytes/changes)
	t.Logf("one change and second: %.1f reads, %.1f writes and %.1f watches of the platform",
		spent.reads/changes, spent.writes/changes, spent.watches/changes)
	if got := spent.acceptorMessages / changes; got > 4*nodes {
		t.Errorf("the acceptor had %.0f messages for one change", got)
	}
	if got := spent.writes / changes; got > 8 {
		t.Errorf("%.1f writes for one change", got)
	}
}
