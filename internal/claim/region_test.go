package claim

import (
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
)

// withTwoRegions runs body with two nodes in each of two regions that share a platform.
// The first region holds the shard.
func withTwoRegions(t *testing.T, body func(t *testing.T, c *cluster, east, west []*testNode)) {
	t.Helper()
	bubbletest.Run(t, func(t *testing.T) {
		c := newCluster()
		c.store.latency = 3 * time.Millisecond
		c.regions = map[string]string{"e1": "east", "e2": "east", "w1": "west", "w2": "west"}
		c.preferredByRegion = map[string]string{"east": "e1", "west": "w1"}
		east := []*testNode{c.start(t, "e1", nil), c.start(t, "e2", nil)}
		waitUntilSettled()
		west := []*testNode{c.start(t, "w1", nil), c.start(t, "w2", nil)}
		waitUntilSettled()
		if !holdsShard(east[0]) {
			t.Fatal("the shard is not held in the first region")
		}
		body(t, c, east, west)
		for _, node := range c.nodes {
			node.stop()
			<-node.done
		}
	})
}

func TestRepeatInAnotherRegion(t *testing.T) {
	withTwoRegions(t, func(t *testing.T, c *cluster, east, west []*testNode) {
		for first, node := range map[string]*testNode{"east": east[1], "west": west[1]} {
			key := Key{Workspace: "w", Upstream: "u", IdempotencyKey: first}
			begun, err := node.Begin(t.Context(), key, FingerprintOf("POST", "/claims", []byte("body")))
			if err != nil || begun.Verdict != Run {
				t.Fatalf("the claim in %s: %v, %v", first, begun.Verdict, err)
			}
			for _, other := range append(east, west...) {
				expectResult(t, "a repeat while in progress", c.call(t, other, key, "body", stepNone), resultInProgress)
			}
			answer := Answer{Status: 201, Body: []byte(answerTo("body"))}
			if err := node.Finish(t.Context(), begun.Token, Outcome{Kind: OutcomeRecorded, Answer: answer}); err != nil {
				t.Fatal(err)
			}
			for _, other := range append(east, west...) {
				expectResult(t, "a repeat afterwards", c.call(t, other, key, "body", stepNone), resultRecorded)
			}
		}
	})
}

// The second region must take over the shard when the nodes of the first one are gone.
func TestHolderDiesInAnotherRegion(t *testing.T) {
	withTwoRegions(t, func(t *testing.T, c *cluster, east, west []*testNode) {
		expectResult(t, "the first", c.call(t, west[1], testKey, "body", stepNone), resultRan)
		c.kill(east[0])
		c.kill(east[1])
		expectResult(t, "the repeat", c.call(t, west[1], testKey, "body", stepNone), resultRecorded)
		if !holdsShard(west[0]) {
			t.Error("the shard is not held in the second region")
		}
		expectRuns(t, c, testKey, 1)
	})
}

func TestHolderNames(t *testing.T) {
	for holder, want := range map[string][2]string{
		"":                                      {"", ""},
		"vm-3":                                  {"vm-3", ""},
		"vm-3/run":                              {"vm-3", ""},
		HolderName("vm-3", "run", "[::1]:8090"): {"vm-3", "[::1]:8090"},
	} {
		if node, address := parseHolderName(holder); node != want[0] || address != want[1] {
			t.Errorf("%q: got %q and %q", holder, node, address)
		}
	}
}
