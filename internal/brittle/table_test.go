package brittle

import (
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/replica"
)

var process = replica.Process{ID: "i-1", StartedAt: 1}

// unordered is a fleet of so many nodes of which this one does not know its place.
type unordered int

func (u unordered) NodeCount() int              { return int(u) }
func (unordered) Place(string) (int, int, bool) { return 0, 0, false }

// ordered is the place of a node in a fleet.
type ordered struct{ place, nodes int }

func (o ordered) NodeCount() int                { return 2 * o.nodes }
func (o ordered) Place(string) (int, int, bool) { return o.place, o.nodes, true }

// Guards against shares that leave slots unused, or are more than a replica has.
func TestSharesOfAllNodesAreTheSlots(t *testing.T) {
	for _, test := range []struct{ nodes, slots int }{{1, 8}, {4, 8}, {5, 8}, {7, 6}, {7, 32}, {3, 0}} {
		sum := 0
		for place := range test.nodes {
			share, exact := NewTable(ordered{place, test.nodes}).Share("i-1", test.slots)
			if !exact {
				t.Error("the share of a node that knows its place is not exact")
			}
			sum += share
		}
		if sum != test.slots {
			t.Errorf("%d nodes use %d of %d slots", test.nodes, sum, test.slots)
		}
	}
	if share, exact := NewTable(unordered(8)).Share("i-1", 6); share != 1 || exact {
		t.Errorf("share %d, exact %v of a node that does not know its place, want 1, not exact", share, exact)
	}
}

// bears is the notice of a replica that bears so many refusals a second.
func bears(perSecond float64) Notice { return Notice{Brittle: true, RefusalsPerSecond: perSecond} }

// A replica ends if all nodes together cause more refusals than it bears, each of them by requests
// that it can't know others to send.
func TestNodesTogetherCauseFewerRefusalsThanAReplicaBears(t *testing.T) {
	const length = time.Minute
	for _, test := range []struct {
		nodes int
		bears float64
	}{{1, 1}, {7, 3}, {7, 20}, {70, 5}, {360, 50}} {
		refusals := 0
		now := time.Now()
		end := now.Add(length)
		table := NewTable(unordered(test.nodes))
		// Each node sends again as soon as its rest is over, and is always refused.
		for at := now; at.Before(end); at = table.Current()[process].RestUntil {
			table.Observe(at, process, bears(test.bears), true)
			refusals += test.nodes
		}
		// All nodes begin at once, which is allowed for by the first part of the minute.
		if most := test.bears*length.Seconds() + float64(test.nodes); float64(refusals) > most {
			t.Errorf("%d nodes: %d refusals in %s by a replica that bears %.0f a second", test.nodes, refusals, length, test.bears)
		}
	}
}

func TestReplicaThatSaysNothingAnyMoreIsNotBrittle(t *testing.T) {
	now := time.Now()
	r := &replica.Replica{ID: process.ID, StartedAt: process.StartedAt}
	table := NewTable(unordered(7))
	if table.Observe(now, process, Notice{}, true) || len(table.Current()) != 0 {
		t.Fatal("a refusal of a sound replica counts")
	}
	if !table.Observe(now, process, bears(3), false) || table.Observe(now, process, bears(3), false) {
		t.Error("the change is not reported once")
	}
	if _, brittle := table.Current().Of(r, now.Add(retention-1)); !brittle {
		t.Error("the replica is not brittle")
	}
	if _, brittle := table.Current().Of(r, now.Add(retention)); brittle {
		t.Error("the replica is still brittle long after it last said so")
	}
	restarted := &replica.Replica{ID: process.ID, StartedAt: 2}
	if _, brittle := table.Current().Of(restarted, now); brittle {
		t.Error("a restarted replica is brittle")
	}
	if !table.Observe(now, process, Notice{}, false) || len(table.Current()) != 0 {
		t.Error("the replica is still brittle after a response that does not say so")
	}
}

func TestRestContinuesAfterFurtherResponses(t *testing.T) {
	now := time.Now()
	table := NewTable(unordered(7))
	table.Observe(now, process, bears(7), true)
	table.Observe(now.Add(time.Millisecond), process, bears(7), false)
	if got := table.Current()[process].RestUntil.Sub(now); got != 2*time.Second {
		t.Errorf("the rest lasts %s, want 2s", got)
	}
}

func TestRestIsNotLostToResponsesAtTheSameTime(t *testing.T) {
	now := time.Now()
	for range 200 {
		table := NewTable(unordered(7))
		table.Observe(now, process, bears(7), false)
		var responses sync.WaitGroup
		for i := range 8 {
			responses.Go(func() { table.Observe(now.Add(time.Minute), process, bears(7), i == 0) })
		}
		responses.Wait()
		if table.Current()[process].RestUntil.IsZero() {
			t.Fatal("no rest after a refusal")
		}
	}
}

func TestReplicaThatBearsNoRefusalRestsLongest(t *testing.T) {
	if got := rest(0, 7); got != maxRest {
		t.Errorf("rest of %s, want %s", got, maxRest)
	}
}
