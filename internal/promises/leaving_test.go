package promises

import (
	"testing"
	"time"

	"galenatrestle/internal/embedded"
	"galenatrestle/internal/node"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/standin/engine"
)

// TestLeavingUpstreamGetsNothingNew says in the platform's list that one engine
// is leaving, which itself serves on, and checks that it gets nothing new once
// the nodes know. How soon they know is under test in packages leaving and
// membership, by their own clock.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	d := start(t, embedded.Options{Engine: engine.Options{Speed: 10}})
	inTurn(d, "counter", 30, 6, 5)
	before := len(d.Engine(0).Runs().Report().Runs)
	if before == 0 {
		t.Fatal("the engine got nothing while it was not leaving")
	}
	d.Platform().SetInstances([]platform.Instance{{Name: "trestle-llm-0", State: platform.InstanceLeaving}})
	waitUntil(t, "all nodes know that the engine is leaving", func() bool {
		for _, n := range d.Nodes {
			if leavingReplicas(n) != 1 {
				return false
			}
		}
		return true
	})
	inTurn(d, "counter", 30, 6, 5)
	if after := len(d.Engine(0).Runs().Report().Runs); after != before {
		t.Errorf("the engine ran %d requests after all nodes knew that it was leaving", after-before)
	}
}

// leavingReplicas counts the replicas that the node gives nothing new.
func leavingReplicas(n *node.Node) int {
	leaving := 0
	for _, stats := range n.Stats() {
		for _, r := range stats.Replicas {
			if r.Leaving {
				leaving++
			}
		}
	}
	return leaving
}

// waitUntil polls for a condition that has no time of its own; a minute without
// it fails the test.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	const poll = 10 * time.Millisecond
	deadline := time.Now().Add(callTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", callTimeout, what)
		}
		time.Sleep(poll)
	}
}
