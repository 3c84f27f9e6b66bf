package promises

import (
	"context"
	"testing"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/embedded"
)

// accept has the first node accept the document with another queue bound and
// returns the revision.
func accept(t *testing.T, d *embedded.Deployment, bound int) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	document := d.Document()
	document.Classes = append([]config.Class(nil), document.Classes...)
	document.Classes[0].QueueBound = bound
	revision, err := d.Nodes[0].Accept(ctx, &document, "anna")
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// allAt waits until every node is at the revision.
func allAt(t *testing.T, d *embedded.Deployment, revision int64) {
	t.Helper()
	waitUntil(t, "the revision is in force everywhere", func() bool {
		for _, n := range d.Nodes {
			if n.ConfigRevision() < revision {
				return false
			}
		}
		return true
	})
}

// TestAcceptedConfigurationIsInForceAndNeverReverts accepts a revision while
// half of the nodes have lost the platform, replaces a node in an outage, and
// sets the platform back to an older state: no node ever goes back.
func TestAcceptedConfigurationIsInForceAndNeverReverts(t *testing.T) {
	d := start(t, embedded.Options{Nodes: 4, Engines: 2})
	old := d.Platform().Snapshot()
	d.CutPlatform(2)
	d.CutPlatform(3)
	revision := accept(t, d, 321)
	allAt(t, d, revision)

	for i := range d.Nodes {
		d.CutPlatform(i)
	}
	d.Kill(3)
	if err := d.Replace(3, false); err != nil {
		t.Fatal(err)
	}
	allAt(t, d, revision)

	d.Platform().Restore(old)
	for i := range d.Nodes {
		d.RestorePlatform(i)
	}
	d.Kill(1)
	if err := d.Replace(1, true); err != nil {
		t.Fatal(err)
	}
	allAt(t, d, revision)
	stays(t, d, revision)
}

// stays looks for a while whether a node goes back below the revision; a node
// that would go back does so when it hears of the older state, within a second.
func stays(t *testing.T, d *embedded.Deployment, revision int64) {
	t.Helper()
	const looks, pause = 200, 10 * time.Millisecond
	for range looks {
		for _, n := range d.Nodes {
			if got := n.ConfigRevision(); got < revision {
				t.Fatalf("node %s went back from revision %d to %d", n.Name(), revision, got)
			}
		}
		time.Sleep(pause)
	}
}
