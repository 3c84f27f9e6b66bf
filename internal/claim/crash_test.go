package claim

import (
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
)

var testKey = Key{Workspace: "bp-pubs", Upstream: "tab-api", IdempotencyKey: "tab-7"}

// withCluster runs body in a synctest bubble with three nodes, of which n1 is the
// preferred holder.
func withCluster(t *testing.T, body func(t *testing.T, c *cluster, nodes []*testNode)) {
	t.Helper()
	bubbletest.Run(t, func(t *testing.T) {
		c := newCluster()
		c.store.latency = 3 * time.Millisecond
		nodes := []*testNode{c.start(t, "n1", nil), c.start(t, "n2", nil), c.start(t, "n3", nil)}
		waitUntilSettled()
		body(t, c, nodes)
		for _, node := range c.nodes {
			node.stop()
			<-node.done
		}
	})
}

func (c *cluster) setPreferred(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = name
}

func expectResult(t *testing.T, what string, got, want callResult) {
	t.Helper()
	if got != want {
		t.Errorf("%s got %q, want %q", what, got, want)
	}
}

func expectRuns(t *testing.T, c *cluster, key Key, want int) {
	t.Helper()
	if got := c.runs(key); got != want {
		t.Errorf("the call ran %d times, want %d", got, want)
	}
}

// TestNodeKilled kills the caller's node at each step of a call, as holder and as other
// node, and repeats the call on a third node.
func TestNodeKilled(t *testing.T) {
	cases := []struct {
		name string
		at   step
		want callResult
		runs int
	}{
		{"before the claim", stepBeforeClaim, resultRan, 1},
		{"after the claim", stepAfterClaim, resultUnknown, 0},
		{"after the send", stepAfterSend, resultUnknown, 1},
		{"after the record", stepAfterRecord, resultRecorded, 1},
	}
	for _, test := range cases {
		for number, place := range []string{"holder", "other node"} {
			t.Run(test.name+", "+place, func(t *testing.T) {
				withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
					c.call(t, nodes[number], testKey, "body", test.at)
					c.setPreferred("n3")
					waitUntilSettled()
					expectResult(t, "the repeat", c.call(t, nodes[2], testKey, "body", stepNone), test.want)
					expectRuns(t, c, testKey, test.runs)
				})
			})
		}
	}
}

// A repeat with the same body returns the recorded answer; another body is refused.
func TestRepeatGetsRecordedAnswer(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		expectResult(t, "the first", c.call(t, nodes[1], testKey, "body", stepNone), resultRan)
		for _, node := range nodes {
			expectResult(t, "a repeat", c.call(t, node, testKey, "body", stepNone), resultRecorded)
			expectResult(t, "another body", c.call(t, node, testKey, "other", stepNone), resultNotRun)
		}
		expectRuns(t, c, testKey, 1)
	})
}

// A repeat may run after a released call, but not after an unknown one.
func TestReleased(t *testing.T) {
	for _, test := range []struct {
		kind OutcomeKind
		want callResult
	}{{OutcomeReleased, resultRan}, {OutcomeUnknown, resultUnknown}} {
		withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
			result, err := nodes[1].Begin(t.Context(), testKey, FingerprintOf("POST", "/claims", []byte("body")))
			if err != nil || result.Verdict != Run {
				t.Fatalf("begin: %v %v", result.Verdict, err)
			}
			expectResult(t, "a repeat while in progress", c.call(t, nodes[2], testKey, "body", stepNone), resultInProgress)
			if err := nodes[1].Finish(t.Context(), result.Token, Outcome{Kind: test.kind}); err != nil {
				t.Fatal(err)
			}
			expectResult(t, "the repeat", c.call(t, nodes[2], testKey, "body", stepNone), test.want)
		})
	}
}

// Concurrent requests with the same key at different nodes run only once.
func TestSameKeyAtThreeNodes(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		results := make(chan callResult)
		for _, node := range nodes {
			go func() { results <- c.call(t, node, testKey, "body", stepNone) }()
		}
		ran := 0
		for range nodes {
			switch got := <-results; got {
			case resultRan:
				ran++
			case resultInProgress, resultRecorded:
			default:
				t.Errorf("a caller got %q", got)
			}
		}
		if ran != 1 {
			t.Errorf("%d callers ran the call", ran)
		}
		expectRuns(t, c, testKey, 1)
	})
}

// TestLostWriteResponse loses the response to the claim's write: after the write took
// effect, without effect, and with a delayed effect.
func TestLostWriteResponse(t *testing.T) {
	for _, injected := range []fault{faultLost, faultDown, faultLate} {
		withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
			remaining := 1
			c.store.setFault(func(string) fault {
				if remaining == 0 {
					return faultNone
				}
				remaining--
				return injected
			})
			expectResult(t, "the caller", c.call(t, nodes[1], testKey, "body", stepNone), resultRan)
			c.store.deliverLate()
			expectResult(t, "the repeat", c.call(t, nodes[2], testKey, "body", stepNone), resultRecorded)
			expectRuns(t, c, testKey, 1)
		})
	}
}

// TestHolderPaused pauses the holder during a write until another holder has taken over.
func TestHolderPaused(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		resume := make(chan struct{})
		paused := make(chan struct{})
		first := true
		c.store.setGate(func(string, []byte) {
			c.mu.Lock()
			isFirst := first
			first = false
			c.mu.Unlock()
			if isFirst {
				close(paused)
				<-resume
			}
		})
		results := make(chan callResult)
		go func() { results <- c.call(t, nodes[0], testKey, "body", stepNone) }()
		<-paused
		c.expireLeases(false)
		c.setPreferred("n2")
		waitUntilSettled()
		expectResult(t, "the repeat at the new holder", c.call(t, nodes[1], testKey, "body", stepNone), resultRan)
		close(resume)
		expectResult(t, "the caller at the paused holder", <-results, resultUnknown)
		waitUntilSettled()
		expectResult(t, "a later repeat", c.call(t, nodes[0], testKey, "body", stepNone), resultRecorded)
		expectRuns(t, c, testKey, 1)
	})
}

func holdsShard(node *testNode) bool {
	localShard := node.shards[0]
	localShard.mu.Lock()
	defer localShard.mu.Unlock()
	return localShard.holding
}

// A holder that missed the expiry of its lease and its successor must not both run a
// call.
func TestTwoHolders(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		expectResult(t, "the first", c.call(t, nodes[0], testKey, "body", stepNone), resultRan)
		c.expireLeases(false)
		c.setPreferred("n2")
		// Shorter than the time after which a holder yields to the preferred one.
		time.Sleep(3 * time.Second)
		if !holdsShard(nodes[0]) || !holdsShard(nodes[1]) {
			t.Fatal("there are not two holders")
		}
		expectResult(t, "the repeat at the new holder", c.call(t, nodes[1], testKey, "body", stepNone), resultRecorded)
		second := Key{Workspace: "w", Upstream: "u", IdempotencyKey: "second"}
		results := make(chan callResult)
		for _, node := range nodes[:2] {
			go func() { results <- c.call(t, node, second, "body", stepNone) }()
		}
		<-results
		<-results
		expectRuns(t, c, second, 1)
		expectRuns(t, c, testKey, 1)
	})
}
