package claim

import (
	"testing"
	"testing/synctest"
	"time"
)

var oneKey = Key{Workspace: "bp-pubs", Upstream: "tab-api", IdempotencyKey: "tab-7"}

// within runs the body in a bubble with three nodes, the first of which is
// preferred, and stops them afterwards.
func within(t *testing.T, body func(t *testing.T, c *cluster, nodes []*testNode)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.store.latency = 3 * time.Millisecond
		nodes := []*testNode{c.start(t, "n1", nil), c.start(t, "n2", nil), c.start(t, "n3", nil)}
		settle()
		body(t, c, nodes)
		for _, node := range c.nodes {
			node.stop()
			<-node.done
		}
	})
}

func (c *cluster) prefer(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = name
}

func expectTold(t *testing.T, what string, got, want told) {
	t.Helper()
	if got != want {
		t.Errorf("%s was told %q, want %q", what, got, want)
	}
}

func expectRuns(t *testing.T, c *cluster, key Key, want int) {
	t.Helper()
	if got := c.runs(key); got != want {
		t.Errorf("the call ran %d times, want %d", got, want)
	}
}

// TestNodeKilled kills the node of the caller at each step, where that node
// holds the shard and where it does not, and repeats the call elsewhere.
func TestNodeKilled(t *testing.T) {
	cases := []struct {
		name string
		at   step
		want told
		runs int
	}{
		{"before the claim", stepBeforeClaim, toldRan, 1},
		{"after the claim", stepAfterClaim, toldUnknown, 0},
		{"after the send", stepAfterSend, toldUnknown, 1},
		{"after the record", stepAfterRecord, toldRecorded, 1},
	}
	for _, test := range cases {
		for number, place := range []string{"holder", "other node"} {
			t.Run(test.name+", "+place, func(t *testing.T) {
				within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
					c.call(t, nodes[number], oneKey, "body", test.at)
					c.prefer("n3")
					settle()
					expectTold(t, "the repeat", c.call(t, nodes[2], oneKey, "body", stepNone), test.want)
					expectRuns(t, c, oneKey, test.runs)
				})
			})
		}
	}
}

// TestRepeats covers the plain verdicts.
func TestRepeats(t *testing.T) {
	within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		expectTold(t, "the first", c.call(t, nodes[1], oneKey, "body", stepNone), toldRan)
		for _, node := range nodes {
			expectTold(t, "a repeat", c.call(t, node, oneKey, "body", stepNone), toldRecorded)
			expectTold(t, "another body", c.call(t, node, oneKey, "other", stepNone), toldNotRun)
		}
		expectRuns(t, c, oneKey, 1)
	})
}

// TestReleased lets a repeat run after a call that was proved not run, and not
// after one that is unknown.
func TestReleased(t *testing.T) {
	for _, test := range []struct {
		kind OutcomeKind
		want told
	}{{OutcomeReleased, toldRan}, {OutcomeUnknown, toldUnknown}} {
		within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
			grant, err := nodes[1].Begin(t.Context(), oneKey, FingerprintOf("POST", "/claims", []byte("body")))
			if err != nil || grant.Verdict != Run {
				t.Fatalf("begin: %v %v", grant.Verdict, err)
			}
			expectTold(t, "a repeat meanwhile", c.call(t, nodes[2], oneKey, "body", stepNone), toldInProgress)
			if err := nodes[1].Finish(t.Context(), grant.Token, Outcome{Kind: test.kind}); err != nil {
				t.Fatal(err)
			}
			expectTold(t, "the repeat", c.call(t, nodes[2], oneKey, "body", stepNone), test.want)
		})
	}
}

// TestSameKeyAtThreeNodes sends the same call to all nodes at once.
func TestSameKeyAtThreeNodes(t *testing.T) {
	within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		results := make(chan told)
		for _, node := range nodes {
			go func() { results <- c.call(t, node, oneKey, "body", stepNone) }()
		}
		ran := 0
		for range nodes {
			switch got := <-results; got {
			case toldRan:
				ran++
			case toldInProgress, toldRecorded:
			default:
				t.Errorf("a caller was told %q", got)
			}
		}
		if ran != 1 {
			t.Errorf("%d callers ran the call", ran)
		}
		expectRuns(t, c, oneKey, 1)
	})
}

// TestLostAnswer loses the answer of the claim's write, after it took effect,
// before it did, and with the write arriving late.
func TestLostAnswer(t *testing.T) {
	for _, happens := range []fault{faultLost, faultDown, faultLate} {
		within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
			left := 1
			c.store.setFault(func(string) fault {
				if left == 0 {
					return faultNone
				}
				left--
				return happens
			})
			expectTold(t, "the caller", c.call(t, nodes[1], oneKey, "body", stepNone), toldRan)
			c.store.deliverLate()
			expectTold(t, "the repeat", c.call(t, nodes[2], oneKey, "body", stepNone), toldRecorded)
			expectRuns(t, c, oneKey, 1)
		})
	}
}

// TestHolderPaused pauses the holder with a batch in hand until another holder
// has taken over and answered, and wakes it.
func TestHolderPaused(t *testing.T) {
	within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		woken := make(chan struct{})
		paused := make(chan struct{})
		first := true
		c.store.setGate(func(string, []byte) {
			c.mu.Lock()
			mine := first
			first = false
			c.mu.Unlock()
			if mine {
				close(paused)
				<-woken
			}
		})
		results := make(chan told)
		go func() { results <- c.call(t, nodes[0], oneKey, "body", stepNone) }()
		<-paused
		c.lapse(false)
		c.prefer("n2")
		settle()
		expectTold(t, "the repeat at the new holder", c.call(t, nodes[1], oneKey, "body", stepNone), toldRan)
		close(woken)
		expectTold(t, "the caller at the paused holder", <-results, toldUnknown)
		settle()
		expectTold(t, "a later repeat", c.call(t, nodes[0], oneKey, "body", stepNone), toldRecorded)
		expectRuns(t, c, oneKey, 1)
	})
}

func holds(node *testNode) bool {
	part := node.shards[0]
	part.mu.Lock()
	defer part.mu.Unlock()
	return part.holding
}

// TestTwoHolders lets an old holder go on believing in its lease while a new
// one is at work, and calls both with the same keys.
func TestTwoHolders(t *testing.T) {
	within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		expectTold(t, "the first", c.call(t, nodes[0], oneKey, "body", stepNone), toldRan)
		c.lapse(false)
		c.prefer("n2")
		// Shorter than the time after which a holder hands on.
		time.Sleep(3 * time.Second)
		if !holds(nodes[0]) || !holds(nodes[1]) {
			t.Fatal("there are not two holders")
		}
		expectTold(t, "the repeat at the new", c.call(t, nodes[1], oneKey, "body", stepNone), toldRecorded)
		second := Key{Workspace: "w", Upstream: "u", IdempotencyKey: "second"}
		results := make(chan told)
		for _, node := range nodes[:2] {
			go func() { results <- c.call(t, node, second, "body", stepNone) }()
		}
		<-results
		<-results
		expectRuns(t, c, second, 1)
		expectRuns(t, c, oneKey, 1)
	})
}
