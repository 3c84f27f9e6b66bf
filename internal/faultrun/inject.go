package faultrun

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"galenatrestle/internal/config"
	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
	"galenatrestle/internal/standin/fault"
)

// injector makes the events of a schedule happen.
type injector struct {
	fleet *fleet
	// first is the platform's state at the start.
	first memstore.Snapshot

	mu sync.Mutex
	// restored is when the platform was last set back.
	restored time.Time
}

// run throws the events at their times and returns when the last has ended.
func (in *injector) run(ctx context.Context, events []Event) error {
	start := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	for _, event := range events {
		group.Go(func() error {
			if ctxtime.Sleep(ctx, time.Until(start.Add(event.At))) != nil {
				return nil
			}
			if err := in.throw(ctx, event); err != nil {
				return fmt.Errorf("%s: %w", event, err)
			}
			return nil
		})
	}
	return group.Wait()
}

func (in *injector) throw(ctx context.Context, e Event) error {
	d := in.fleet.deployment
	if kind, ok := engineFaults[e.Kind]; ok {
		return e.each(d.Engines(), func(i int) error { return d.Engine(i).Faults().Switch(e.spec(kind)) })
	}
	if kind, ok := serviceFaults[e.Kind]; ok {
		return e.each(d.Services(), func(i int) error { return d.Service(i).Faults().Switch(e.spec(kind)) })
	}
	if kind, ok := platformFaults[e.Kind]; ok {
		return d.Platform().Inject(memstore.Fault{Kind: kind, For: e.For, Factor: e.Factor})
	}
	return in.act(ctx, e)
}

// act does what is no switch of a stand-in.
func (in *injector) act(ctx context.Context, e Event) error {
	switch e.Kind {
	case NodeKilled:
		return in.fleet.kill(e.Target, e.For)
	case NodeStopped:
		return in.fleet.stop(e.Target)
	case NodeCut:
		in.fleet.cut(e.Target, e.For)
	case ListedLeaving:
		in.fleet.list(e.Target, true)
		_ = ctxtime.Sleep(ctx, e.For)
		in.fleet.list(e.Target, false)
	case ConfigurationSent:
		in.fleet.accept(ctx, e)
	case PlatformRestored:
		in.restore()
	default:
		return fmt.Errorf("no event is named %q", e.Kind)
	}
	return nil
}

func (in *injector) restore() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.fleet.deployment.Platform().Restore(in.first)
	in.restored = time.Now()
}

func (in *injector) restoredAt() time.Time {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.restored
}

// each calls f for every replica of n that the event hits.
func (e Event) each(n int, f func(i int) error) error {
	for i := range e.Width {
		if err := f((e.Target + i) % n); err != nil {
			return err
		}
	}
	return nil
}

func (e Event) spec(kind fault.Kind) fault.Spec {
	return fault.Spec{Kind: kind, For: config.Duration(e.For), Factor: e.Factor}
}

var engineFaults = map[Kind]fault.Kind{
	EngineCrash: fault.CrashMidAnswer, EngineStraggler: fault.Straggler, EngineRefuse: fault.Refuse,
	EngineHang: fault.Hang, EngineLeaving: fault.Leaving,
}

var serviceFaults = map[Kind]fault.Kind{
	ServiceCrash: fault.CrashMidAnswer, ServiceHang: fault.Hang, ServiceRefuse: fault.Refuse,
}

var platformFaults = map[Kind]memstore.FaultKind{
	PlatformDown: memstore.Down, PlatformSlow: memstore.Slow, PlatformLost: memstore.LostAnswer,
	PlatformGap: memstore.WatchGap, PlatformLapse: memstore.LeaseLapse, PlatformStale: memstore.StaleInstances,
}

// list has the platform's list say that an engine is leaving, or is not.
func (f *fleet) list(engine int, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed[engine] = leaving
	var instances []platform.Instance
	for i := range f.deployment.Engines() {
		state := platform.InstanceLive
		if f.listed[i] {
			state = platform.InstanceLeaving
		}
		instances = append(instances, platform.Instance{Name: engineName(i), State: state})
	}
	f.deployment.Platform().SetInstances(instances)
}

func engineName(i int) string { return fmt.Sprintf("%s-%d", model, i) }

// accept has a node accept another document; a refusal is no fault.
func (f *fleet) accept(ctx context.Context, e Event) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	nodes, _ := f.current()
	document := f.deployment.Document()
	document.Classes = append([]config.Class(nil), document.Classes...)
	document.Classes[0].QueueBound += 1 + int(e.At/time.Millisecond)%100
	revision, err := nodes[e.Target].Accept(ctx, &document, "faults")
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.accepted {
		detail := fmt.Sprintf("accepted as revision %d after %d was accepted", revision, f.accepted)
		f.problems = append(f.problems, Violation{Promise: promiseConfiguration, Detail: detail})
	}
	f.accepted = max(f.accepted, revision)
}
