package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"galenatrestle/platform"
)

// Options are one run's.
type Options struct {
	Seed uint64
	// Command starts the program under test, without its settings.
	Command []string
	// Dir takes settings and logs.
	Dir    string
	Nodes  int
	Length time.Duration
	// Callers is the number of callers at once.
	Callers int
	// RateLimits is the number of times that a replica names a rate for a while.
	RateLimits int
	// Notices is the number of times that a replica says in its answers that it leaves, and
	// Pauses of those that one asks for a pause.
	Notices, Pauses int
	// Restores is the number of times that the store comes back from an older copy.
	Restores int
	// Cuts is the number of times that some of the nodes are cut off from all replicas.
	Cuts int
	// Brittle is the number of times that the replicas of a service are brittle, Silences of those that
	// a sound replica says nothing for a second, and JointSilences of those that all do.
	Brittle, Silences, JointSilences int
	// Crashers is the number of callers that keep sending one call that ends the replicas that
	// run it.
	Crashers int
	// Releases is the number of times that half of the models are replaced in turn by the next
	// software version, ModelCrashes of those that a third of the models crash at once, and GroupKills
	// of those that some or all nodes are killed at once.
	Releases, ModelCrashes, GroupKills int
	// ModelReplicas is the number of models; zero: the default. EventEvery is the time between two
	// events of their streams; zero: the default.
	ModelReplicas int
	EventEvery    time.Duration
	// LedgerReplicas is the number of replicas of the plain service, and WorkTime how long they run a
	// call; zero: the defaults. WorkTimeStep is how much longer each replica takes than the one before.
	LedgerReplicas         int
	WorkTime, WorkTimeStep time.Duration
	// Slots is the number of slots of each replica; zero: the default. Queue is the number of calls
	// that wait there for a slot, and BrittleQueue that of those that may while a replica is brittle.
	Slots, Queue, BrittleQueue int
	// Restart is how long a brittle replica that fell over is away; zero: another one is there at once.
	Restart time.Duration
	// Arrivals is the number of calls a second that begin however many are unanswered, besides those of
	// Callers. Their callers come back as refusals tell them.
	Arrivals float64
	// LaterArrivals is the same after Length; zero: as before.
	LaterArrivals float64
	// PartCrash is a time in which calls come that share a part which ends replicas; nil: none come.
	PartCrash *PartCrash
	// WithoutLength has the models' answers come without a length and end with their connections.
	WithoutLength bool
	// Endless are the parts without an end of some answers of a quarter of the replicas, in turn; none: all
	// answers end.
	Endless []Endless
	// Uploads is the number of callers of the first node that send a long body but for its last byte.
	Uploads int
	// MemoryMB is the memory of a process in MB; zero: it is not bounded.
	MemoryMB int
	// Grace is the time that a process has to stop; zero: the default.
	Grace time.Duration
	// WithoutFaults leaves out all else that befalls the deployment.
	WithoutFaults bool
	// extra are events besides those that are drawn.
	extra []event
	// path is that of all calls; empty: it is drawn for each.
	path string
}

// Report is what a run found.
type Report struct {
	Calls, Served, Runs int
	// Parts is what became of calls while calls with a crashing part came.
	Parts PartReport
	// Brittle is what became of calls while replicas were brittle.
	Brittle BrittleReport
	// Resumed is the number of streams that callers resumed at undisturbed nodes, while replicas of
	// their version served, and WentOn of those that went on.
	Resumed, WentOn int
	// Events are the faults in their order.
	Events     []string
	Violations []string
}

// Run plays the seed's schedule and judges it.
func Run(ctx context.Context, o Options) (Report, error) {
	w, err := newWorld(o)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	for i, n := range w.nodes {
		if err := n.writeSettings(w.nodes[(i+1)%len(w.nodes)].peer); err != nil {
			return Report{}, err
		}
		if err := n.start(); err != nil {
			return Report{}, err
		}
	}
	if err := w.awaitReady(ctx); err != nil {
		return Report{}, err
	}
	events := o.events()
	calls := w.play(ctx, events)
	w.judge(calls)
	return w.report(events, calls), nil
}

// events are the faults of the run and what replicas say in their answers, in their order.
func (o *Options) events() []event {
	events := replicaEvents(rand.New(rand.NewPCG(o.Seed, 2)), replicaLimit, o.Length, o.RateLimits, rateLimitLasts)
	events = append(events, replicaEvents(rand.New(rand.NewPCG(o.Seed, 3)), replicaNotice, o.Length, o.Notices, noticeLasts)...)
	events = append(events, replicaEvents(rand.New(rand.NewPCG(o.Seed, 4)), replicaPause, o.Length, o.Pauses, pauseLasts)...)
	events = append(events, replicaEvents(rand.New(rand.NewPCG(o.Seed, 5)), storeRestore, o.Length, o.Restores, restoreLasts)...)
	events = append(events, replicaEvents(rand.New(rand.NewPCG(o.Seed, 6)), nodesCut, o.Length, o.Cuts, cutLasts)...)
	events = append(events, replicaEvents(rand.New(rand.NewPCG(o.Seed, 7)), replicasBrittle, o.Length, o.Brittle, brittleLasts)...)
	events = append(events, replicaEvents(rand.New(rand.NewPCG(o.Seed, 8)), replicaSilent, o.Length, o.Silences, silentLasts)...)
	events = append(events, replicaEvents(rand.New(rand.NewPCG(o.Seed, 9)), modelRelease, o.Length, o.Releases, releaseLasts)...)
	events = append(events, replicaEvents(rand.New(rand.NewPCG(o.Seed, 10)), modelsCrash, o.Length, o.ModelCrashes, crashRestart)...)
	events = append(events, replicaEvents(rand.New(rand.NewPCG(o.Seed, 11)), killNodes, o.Length, o.GroupKills, groupKillLasts)...)
	events = append(events, replicaEvents(rand.New(rand.NewPCG(o.Seed, 12)), replicasSilent, o.Length, o.JointSilences, silentLasts)...)
	if !o.WithoutFaults {
		events = append(events, schedule(o.Seed, o.Length)...)
	}
	events = append(events, o.extra...)
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return events
}

// awaitReady waits until all nodes say that they are ready.
func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, n := range w.nodes {
		for !ready(ctx, n) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready after %s", n.name, startTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func ready(ctx context.Context, n *node) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+platform.Wire{}.ReadyPath(), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// play carries out the events while callers send, and some time after.
func (w *world) play(ctx context.Context, events []event) []*sent {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	crashing, stopCrashing := context.WithCancel(sending)
	defer stopCrashing()
	var callers []*caller
	var sends, faults sync.WaitGroup
	for i := range w.options.Callers {
		c := newCaller(w, i)
		callers = append(callers, c)
		sends.Go(func() { c.run(sending) })
	}
	var arriving *arrivals
	if w.options.Arrivals > 0 {
		arriving = newArrivals(w)
		sends.Go(func() { arriving.run(sending) })
	}
	for i := range w.options.Crashers {
		c := newCaller(w, w.options.Callers+i)
		callers = append(callers, c)
		sends.Go(func() { c.runCrashing(crashing) })
	}
	sends.Go(func() { w.holdUploads(crashing) })
	var partCalls *partCallers
	if w.options.PartCrash != nil {
		partCalls = newPartCallers(w)
		sends.Go(func() { partCalls.run(crashing) })
	}
	played := make(chan struct{})
	var watching sync.WaitGroup
	if w.options.MemoryMB > 0 {
		watching.Go(func() { w.watchMemory(played) })
	}
	began := time.Now()
	for _, e := range events {
		time.Sleep(e.at - time.Since(began))
		faults.Go(func() { w.do(e) })
	}
	faults.Wait()
	time.Sleep(w.options.Length - time.Since(began))
	stopCrashing()
	time.Sleep(recovery + time.Second)
	stop()
	sends.Wait()
	close(played)
	watching.Wait()
	var calls []*sent
	for _, c := range callers {
		calls = append(calls, c.calls...)
	}
	if arriving != nil {
		calls = append(calls, arriving.calls...)
	}
	if partCalls != nil {
		calls = append(calls, partCalls.calls...)
	}
	return calls
}

func aboutNode(k kind) bool {
	return k == killNode || k == stopNode || k == pauseNode || k == hupNode
}

func (w *world) report(events []event, calls []*sent) Report {
	r := Report{Calls: len(calls), Runs: len(w.runs.All()), Resumed: w.resumed.asked, WentOn: w.resumed.served, Violations: w.violations}
	for _, s := range calls {
		if s.whole() {
			r.Served++
		}
	}
	r.Brittle, r.Parts = w.brittleReport(calls), w.parts
	for _, e := range events {
		r.Events = append(r.Events, e.String())
	}
	return r
}
