package faultrun

import (
	"context"
	_ "embed"
	"fmt"
	"sync"
	"time"

	"galenatrestle/internal/embedded"
	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/fault"
	"galenatrestle/internal/standin/service"
)

//go:embed config.yaml
var configuration string

// Run runs the seed's schedule. Its error says that the run itself failed;
// broken promises are in the result.
func Run(ctx context.Context, seed uint64, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	schedule := Draw(seed, o)
	d, err := embedded.Start(embedded.Options{
		Nodes: o.Nodes, Engines: o.Engines, Services: o.Services,
		Engine:  engine.Options{Speed: engineSpeed, Slots: engineSlots},
		Service: service.Options{Latency: serviceTime, RestartTime: time.Second / engineSpeed},
		Config:  configuration, KeepTime: keepTime, Seed: seed, OwnSlots: !schedule.ShareSlots,
	})
	if err != nil {
		return nil, fmt.Errorf("seed %d: start: %w", seed, err)
	}
	defer d.Close()
	r := newRunning(d, schedule)
	if err := r.run(ctx); err != nil {
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	}
	return r.result(ctx), nil
}

// running is one run.
type running struct {
	schedule Schedule
	began    time.Time
	fleet    *fleet
	injector *injector
	callers  *callers
	watcher  *watcher
	tiers    map[string]int
}

func newRunning(d *embedded.Deployment, s Schedule) *running {
	f := newFleet(d)
	r := &running{schedule: s, began: time.Now(), fleet: f, watcher: newWatcher(f), tiers: make(map[string]int)}
	r.injector = &injector{fleet: f, first: d.Platform().Snapshot()}
	patience := make(map[string]time.Duration)
	for _, class := range d.Document().Classes {
		patience[class.Name] = class.GiveUpAfter.Std() + hangMargin
		r.tiers[class.Name] = class.Tier
	}
	var entries []string
	for _, n := range d.Nodes {
		entries = append(entries, n.EntryAddress())
	}
	r.callers = newCallers(entries, patience)
	return r
}

// run offers the load under the faults and waits until all is over.
func (r *running) run(ctx context.Context) error {
	if err := r.poison(); err != nil {
		return err
	}
	watching, stop := context.WithCancel(ctx)
	var watched, offered sync.WaitGroup
	watched.Go(func() { r.watcher.run(watching) })
	offered.Go(func() { r.callers.run(ctx, r.schedule.Offers) })
	err := r.injector.run(ctx, r.schedule.Events)
	offered.Wait()
	r.fleet.mend()
	r.fleet.awaitRevision(ctx)
	stop()
	watched.Wait()
	return err
}

// poison has every engine crash on the poison prompt.
func (r *running) poison() error {
	if !r.schedule.Poison {
		return nil
	}
	for i := range r.fleet.deployment.Engines() {
		err := r.fleet.deployment.Engine(i).Faults().Switch(fault.Spec{Kind: fault.CrashOnPrompt, Text: poisonText})
		if err != nil {
			return err
		}
	}
	return nil
}

// result judges the run.
func (r *running) result(ctx context.Context) *Result {
	ran := readTruth(ctx, r.fleet.deployment)
	j := &judge{
		seed: r.schedule.Seed, truth: ran, endOf: r.fleet.endOf,
		restored: r.injector.restoredAt(), tiers: r.tiers,
	}
	tries := r.callers.tries
	result := &Result{Schedule: r.schedule, Tries: tries, LeavingSpans: len(r.watcher.spans), Open: ran.open, Dropped: ran.dropped}
	result.Violations = append(result.Violations, r.fleet.problems...)
	result.Violations = append(result.Violations, j.tries(tries)...)
	result.Violations = append(result.Violations, j.keys(tries)...)
	result.Violations = append(result.Violations, j.classes(tries)...)
	result.Violations = append(result.Violations, j.leaving(r.watcher.spans)...)
	result.Violations = append(result.Violations, unheard(r.schedule.Events, r.watcher.known)...)
	r.tell(ctx, result.Violations)
	result.Began = r.began
	result.Took = time.Since(r.began)
	return result
}
