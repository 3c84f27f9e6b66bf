package faultrun

import (
	"context"
	"time"

	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/embedded"
	"galenatrestle/internal/load"
	"galenatrestle/internal/standin/runs"
)

// truth is what the stand-ins ran.
type truth struct {
	byRequest map[string]int
	byKey     map[string]int
	// engines holds the runs of each engine.
	engines [][]runs.Run
	// open counts runs that had not ended, dropped those no longer listed.
	open, dropped int64
}

// readTruth waits for a while until nothing is open, and reads the lists.
func readTruth(ctx context.Context, d *embedded.Deployment) *truth {
	until := time.Now().Add(settleTimeout)
	for {
		t := listRuns(d)
		if t.open == 0 || time.Now().After(until) || ctxtime.Sleep(ctx, samplePause) != nil {
			return t
		}
	}
}

func listRuns(d *embedded.Deployment) *truth {
	t := &truth{byRequest: make(map[string]int), byKey: make(map[string]int)}
	for i := range d.Engines() {
		report := d.Engine(i).Runs().Report()
		t.add(report)
		t.engines = append(t.engines, report.Runs)
	}
	for i := range d.Services() {
		t.add(d.Service(i).Runs().Report())
	}
	return t
}

func (t *truth) add(report runs.Report) {
	totals := report.Totals
	t.open += totals.Begun - totals.Completed - totals.Cancelled - totals.Crashed
	t.dropped += report.Dropped
	for _, run := range report.Runs {
		t.byRequest[load.CallersID(run.RequestID)]++
		if run.IdempotencyKey != "" {
			t.byKey[run.IdempotencyKey]++
		}
	}
}
