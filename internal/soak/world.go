package soak

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"galenatrestle/platform/platformtest"
)

// world is the deployment: nodes, replicas, the store and the paths.
type world struct {
	options Options
	store   *platformtest.Store
	duties  *platformtest.Duties
	runs    *platformtest.Runs
	nodes   []*node
	began   time.Time

	mu       sync.Mutex
	replicas []*runningReplica
	// ended are the replicas that were taken out of service.
	ended []*runningReplica
	// releases is the number of software versions of the models that were released after the first.
	releases int
	started  int
	version  int64
	keys     []string
	revoked  map[string]time.Time
	drained  map[string]time.Time
	limits   []rateLimit
	// disturbedAt is the end of the last fault so far.
	disturbedAt time.Time
	// crashes are the times at which a crashing call ended a replica.
	crashes []time.Time
	// partCrashes are the times at which a call with a crashing part ended a replica, parts is what
	// became of calls meanwhile.
	partCrashes []time.Time
	// pathFaults are the faults of the store and of the paths to it and to replicas. A slow store is none:
	// nodes go on with what they know.
	pathFaults []pathFault
	parts      PartReport
	violations []string
	// spoiled are the calls that got an answer without an end.
	spoiled map[string]bool
	// restoring lets one restore of the store end before the next begins.
	restoring sync.Mutex
	// brittleTimes are the times in which replicas were brittle, falls the ends of such replicas.
	brittleTimes []brittleTime
	falls        []fall
	// brittle is how brittle the replicas of a service are now.
	brittle map[string]*platformtest.Brittleness
	// cuts are the times in which nodes reached no replica; cutting lets one end before the next
	// begins.
	cuts    []cut
	cutting sync.Mutex
	// silencing lets one silence of all replicas end before the next begins.
	silencing sync.Mutex
	// resumed counts the streams that callers resumed at undisturbed nodes, while replicas of their
	// version served, and those that went on.
	resumed tally
	closers []func()
}

const (
	modelService         = "model"
	ledgerService        = "ledger"
	firstVersion         = "v1"
	defaultModelReplicas = 4
	firstKeys            = 6
	replicaSlots         = 8

	defaultLedgerReplicas = 3
)

// slots returns the number of slots of each replica.
func (o *Options) slots() int { return cmp.Or(o.Slots, replicaSlots) }

// newWorld starts everything but the nodes' processes.
func newWorld(o Options) (*world, error) {
	w := &world{
		options: o, store: platformtest.NewStore(), duties: platformtest.NewDuties(dutyLease, o.Seed), runs: &platformtest.Runs{}, began: time.Now(),
		revoked: make(map[string]time.Time), drained: make(map[string]time.Time), brittle: make(map[string]*platformtest.Brittleness),
		spoiled: make(map[string]bool),
	}
	w.store.Slots = o.slots()
	address, err := w.listen(w.store)
	if err != nil {
		return nil, err
	}
	w.duties.Judge.SetLateRate(lateDuties)
	dutiesAddress, err := w.listen(w.duties)
	if err != nil {
		return nil, err
	}
	for i := range firstKeys {
		w.keys = append(w.keys, fmt.Sprintf("key-%d", i))
	}
	w.configure()
	models := cmp.Or(o.ModelReplicas, defaultModelReplicas)
	for i := range models + cmp.Or(o.LedgerReplicas, defaultLedgerReplicas) {
		service := modelService
		if i >= models {
			service = ledgerService
		}
		if err := w.addReplica(service, firstVersion); err != nil {
			return nil, err
		}
	}
	for i := range o.Nodes {
		path, err := newProxy(address)
		if err != nil {
			return nil, err
		}
		w.closers = append(w.closers, path.close)
		n, err := newNode(fmt.Sprintf("vm-%d", i+1), o.Dir, o.Command, path, dutiesAddress)
		if err != nil {
			return nil, err
		}
		n.memoryMB, n.grace = o.MemoryMB, cmp.Or(o.Grace, defaultGrace)
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

// listen serves the handler on a loopback port.
func (w *world) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	w.closers = append(w.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// configure writes the next version. The lock is held, or nobody else is there.
func (w *world) configure() {
	w.version += 2
	w.store.Configure(w.version, w.keys)
}

// do carries out one event; it returns when its effect is over.
func (w *world) do(e event) {
	n := w.nodes[e.target%len(w.nodes)]
	if aboutNode(e.kind) {
		// A process is stopped, killed and restarted by one event at a time.
		n.busy.Lock()
		defer n.busy.Unlock()
		n.disturbed()
		defer n.disturbed()
	}
	switch e.kind {
	case cutStore:
		defer w.disturbPaths(pathFault{entries: []string{n.entry}, ofStore: true})()
	case storeDown, storeRestore:
		defer w.disturbPaths(pathFault{ofStore: true})()
	}
	switch e.kind {
	case killNode:
		n.kill()
		w.pauseThen(e.lasts, func() { w.restart(n) })
	case stopNode:
		w.stopAndRestart(n)
	case pauseNode:
		n.signal(syscall.SIGSTOP, false)
		w.pauseThen(e.lasts, func() { n.signal(syscall.SIGCONT, false) })
	case hupNode:
		if err := n.writeSettings(w.nodes[(e.target+1)%len(w.nodes)].peer); err != nil {
			w.violate("settings of %s: %v", n.name, err)
		}
		// Before a process has set up its signals, in the first milliseconds, SIGHUP
		// ends any program: one that listens has.
		n.awaitListening()
		n.signal(syscall.SIGHUP, false)
	case cutStore:
		n.store.set([]mode{silence, refuse, cutAnswers, slow}[e.target%4])
		w.pauseThen(e.lasts, func() { n.store.set(pass); n.store.reset() })
	case storeDown:
		w.store.SetDown(true)
		w.pauseThen(e.lasts, func() { w.store.SetDown(false) })
	case storeSlow:
		w.store.SetDelay(300 * time.Millisecond)
		w.pauseThen(e.lasts, func() { w.store.SetDelay(0) })
	case storeRestore:
		w.restoreStore(e)
	case replicasBrittle:
		w.makeBrittle(e)
	case nodesCut:
		w.cutNodes(e)
	case replicasSilent:
		w.silenceReplicas(e)
	case killNodes:
		w.killNodes(e)
	case stopNodes:
		w.stopNodes()
	case modelRelease:
		w.release(e)
	case modelsCrash:
		w.crashModels(e)
	case configChange, revokeKey:
		w.reconfigure(e)
	default:
		w.disturbReplica(e)
	}
	w.mu.Lock()
	w.disturbedAt = time.Now()
	w.mu.Unlock()
}

func (w *world) pauseThen(d time.Duration, then func()) {
	time.Sleep(d)
	then()
}

// stopAndRestart stops the node as planned work does.
func (w *world) stopAndRestart(n *node) {
	if !n.stop() {
		w.violate("%s did not stop within its grace time", n.name)
	}
	w.restart(n)
}

func (w *world) restart(n *node) {
	if err := n.start(); err != nil {
		w.violate("start of %s: %v", n.name, err)
	}
}

// reconfigure writes a new version, without one key where that is revoked.
func (w *world) reconfigure(e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.kind == revokeKey && len(w.keys) > 2 {
		gone := w.keys[e.target%len(w.keys)]
		var kept []string
		for _, key := range w.keys {
			if key != gone {
				kept = append(kept, key)
			}
		}
		w.keys = kept
		w.configure()
		w.revoked[gone] = time.Now()
		return
	}
	w.keys = append(w.keys, fmt.Sprintf("key-v%d", w.version))
	w.configure()
}

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// close ends what was started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT, false)
		n.kill()
	}
	for _, end := range w.closers {
		end()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.replicas {
		_ = r.server.Close()
		r.proxy.close()
	}
}
