package embedded

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"galenatrestle/internal/gateway"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/node"
	"galenatrestle/internal/standin/fault"
)

// entriesAt asks a node for the entry addresses.
func entriesAt(t *testing.T, d *Deployment, node int) gateway.EntryList {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.Nodes[node].EntryAddress()+"/entries", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var list gateway.EntryList
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	return list
}

// eventually polls until the condition holds; the test's own deadline bounds it.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			t.Fatalf("never: %s", what)
		case <-time.After(joinPoll):
		}
	}
}

func TestStoppedNodeLeavesTheEntriesOfAll(t *testing.T) {
	d := startWith(t, Options{Nodes: 4, KeepTime: time.Minute})
	if n := len(entriesAt(t, d, 0).Entries); n != 4 {
		t.Fatalf("%d entries at the start, want 4", n)
	}
	stopping, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Nodes[2].Stop(stopping) }()
	for node := range d.Nodes {
		eventually(t, "three entries", func() bool { return len(entriesAt(t, d, node).Entries) == 3 })
	}
	for _, m := range d.Nodes[1].Members().Members() {
		if m.Name == d.Nodes[2].Name() && m.State != membership.StateLeaving {
			t.Errorf("the stopped node is %s", m.State)
		}
	}
	cancel()
	<-stopped
}

// TestLeavingReplicaIsLeftByAllNodes has one node meet the refusal of an engine
// that leaves; the other nodes must then send it nothing.
func TestLeavingReplicaIsLeftByAllNodes(t *testing.T) {
	d := startWith(t, Options{Nodes: 3, Engines: 2})
	if err := d.Engine(0).Faults().Switch(fault.Spec{Kind: fault.Leaving}); err != nil {
		t.Fatal(err)
	}
	for range 8 {
		if text, end := chatStream(t, d, 0, "who leaves", 2).read(0); end != "[DONE]" || text == "" {
			t.Fatalf("answer %q ended by %q", text, end)
		}
	}
	for _, n := range d.Nodes {
		eventually(t, "the replica is leaving at "+n.Name(), func() bool { return leavingAt(n) == 1 })
	}
}

// leavingAt counts the replicas that get nothing new from a node.
func leavingAt(n *node.Node) int {
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

// TestLeavingReplicaIsSeenByItsReport sends no request at all: the owner reads
// the engine's report and tells the others, also when it serves again.
func TestLeavingReplicaIsSeenByItsReport(t *testing.T) {
	d := startWith(t, Options{Nodes: 3, Engines: 2})
	if err := d.Engine(1).Faults().Switch(fault.Spec{Kind: fault.Leaving}); err != nil {
		t.Fatal(err)
	}
	for _, n := range d.Nodes {
		eventually(t, "the replica is leaving at "+n.Name(), func() bool { return leavingAt(n) == 1 })
	}
	d.Engine(1).Faults().Clear(fault.Leaving)
	for _, n := range d.Nodes {
		eventually(t, "the replica serves again at "+n.Name(), func() bool { return leavingAt(n) == 0 })
	}
}
