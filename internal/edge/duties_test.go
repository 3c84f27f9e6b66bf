package edge

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"galenatrestle/internal/autoscale"
	"galenatrestle/internal/duty"
	"galenatrestle/internal/duty/dutytest"
	"galenatrestle/internal/usage"
)

// fakeDutyPlatform receives the platform calls of the duties.
type fakeDutyPlatform struct{ checker *dutytest.Checker }

// Report implements usage.Platform.
func (s fakeDutyPlatform) Report(_ context.Context, term duty.Term, r usage.Report) error {
	return s.checker.Report(term, r.Window, r.Requests)
}

// Order implements autoscale.Platform.
func (s fakeDutyPlatform) Order(_ context.Context, term duty.Term, o autoscale.Order) error {
	return s.checker.Handle(term, fmt.Sprint(o.Pool, o.Replicas), func() {})
}

// reported returns the number of requests reported for the workspace.
func (s fakeDutyPlatform) reported(workspace string) int64 {
	var sum int64
	for _, counts := range s.checker.Reports() {
		sum += counts[workspace]
	}
	return sum
}

func TestUsageOfAllNodesIsReportedOnce(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.waitUntilAllReady()
	d.eventually("a node holds the duties", func() bool { return d.nodes[0].duties.fence()+d.nodes[1].duties.fence() > 0 })
	const calls = 7
	for range calls {
		for _, n := range d.nodes {
			if status := d.status(n, "first"); status != http.StatusOK {
				t.Fatalf("a valid key got status %d, want 200", status)
			}
			// A request with an unknown key is rejected and not counted.
			d.status(n, "other")
		}
	}
	d.eventually("all calls are reported", func() bool { return d.duties.reported("shop") == calls*int64(len(d.nodes)) })
	for _, violation := range d.duties.checker.Violations() {
		t.Error(violation)
	}
}

func TestStoppingNodeReleasesDuties(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.waitUntilAllReady()
	d.eventually("a node holds the duties", func() bool { return d.nodes[0].duties.fence()+d.nodes[1].duties.fence() > 0 })
	first, second := d.nodes[0], d.nodes[1]
	if first.duties.fence() == 0 {
		first, second = second, first
	}
	first.stop()
	<-first.done
	d.eventually("the other node holds the duties", func() bool { return second.duties.fence() > 0 })
	before := len(d.duties.checker.Reports())
	d.eventually("windows are reported again", func() bool { return len(d.duties.checker.Reports()) > before })
	for _, violation := range d.duties.checker.Violations() {
		t.Error(violation)
	}
}
