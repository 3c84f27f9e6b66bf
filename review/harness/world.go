package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"galenatrestle/platform/platformtest"
)

// The bounds of the small deployments' sheets.
const (
	grace    = 8 * time.Second
	timeout  = 1200 * time.Millisecond
	deadline = 2500 * time.Millisecond
	// streamDeadline is both the clients' deadline and the route's timeout of streams.
	streamDeadline = 5 * time.Second
	work           = 30 * time.Millisecond
	beat           = 1200 * time.Millisecond

	host = "desk.example"
	key  = "key-of-the-shop"

	service      = "member-ledger"
	modelService = "trestle-llm"
)

// world is the deployment: the store, the replicas and the nodes.
type world struct {
	program string
	dir     string
	store   *platformtest.Store
	// duties is the address of the calls that one node makes for all; empty: there are none.
	duties  string
	runs    *platformtest.Runs
	nodes   []*node
	closers []func()
	began   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

func newWorld(program, record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &world{
		program: program, dir: dir, store: platformtest.NewStore(), runs: &platformtest.Runs{}, began: time.Now(),
		record: bufio.NewWriter(file), file: file,
	}, nil
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves the handler on a free loopback port until the world is closed.
func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// addReplicas starts sound replicas of a service, which write their entries with each heartbeat.
func (w *world) addReplicas(service string, count, slots, queue int) error {
	for i := range count {
		id := fmt.Sprintf("i-%s-%d", service, i+1)
		handler := &platformtest.Replica{ID: id, Runs: w.runs, Slots: slots, Queue: queue, WorkTime: work}
		if err := w.addReplica(id, service, slots, handler); err != nil {
			return err
		}
	}
	return nil
}

// addReplica starts a replica, which writes its entry with each heartbeat.
func (w *world) addReplica(id, service string, slots int, handler http.Handler) error {
	address, err := w.serve(handler)
	if err != nil {
		return err
	}
	entry := map[string]any{
		"service": service, "address": address, "zone": "hall-a", "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1,
	}
	w.store.Put("servers/"+id, entry)
	ticker := time.NewTicker(beat)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				w.store.Put("servers/"+id, entry)
			case <-done:
				return
			}
		}
	}()
	w.closers = append(w.closers, func() { ticker.Stop(); close(done) })
	return nil
}

// configure writes the operator's configuration: a route of requests that may run once, and one of streams.
func (w *world) configure(version int) {
	w.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "claim", "host": host, "prefix": claimPath, "routeType": "unsafe", "service": service, "maxAttempts": 1,
			"timeoutMs": timeout.Milliseconds(), "objectiveMs": 150, "priority": 2, "anonymous": false, "sticky": false,
		}, {
			"name": "chat", "host": host, "prefix": streamPath, "routeType": "streaming", "service": modelService, "maxAttempts": 1,
			"timeoutMs": streamDeadline.Milliseconds(), "objectiveMs": 600, "priority": 1, "anonymous": false, "sticky": true, "resumable": false, "gapTargetMs": 300,
		}},
		"services": []map[string]any{
			{"name": service, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false},
			{"name": modelService, "healthPath": "/healthz", "maxConnections": 230, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "shop", "apiKeys": []string{key}}},
	})
}

// node is one process of the node program.
type node struct {
	name, settings, log                string
	entry, peer, ops, ready, directory string
	command                            string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// addNodes writes the settings of the nodes, as the deploy file's template has them, and starts their processes.
func (w *world) addNodes(count int, storeAddress string) error {
	for i := range count {
		n := &node{name: fmt.Sprintf("edge-%d", i+1), command: w.program}
		n.settings, n.log = filepath.Join(w.dir, n.name+".yaml"), filepath.Join(w.dir, n.name+".log")
		for _, address := range []*string{&n.entry, &n.peer, &n.ops, &n.ready, &n.directory} {
			free, err := freePort()
			if err != nil {
				return err
			}
			*address = free
		}
		w.nodes = append(w.nodes, n)
	}
	var seeds []string
	for _, n := range w.nodes[:min(3, len(w.nodes))] {
		seeds = append(seeds, n.peer)
	}
	for _, n := range w.nodes {
		if err := n.writeSettings(storeAddress, w.duties, seeds, true); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		// bootstrap is true only at the first start.
		if err := n.writeSettings(storeAddress, w.duties, seeds, false); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) writeSettings(storeAddress, duties string, seeds []string, first bool) error {
	encoded, err := json.Marshal(seeds)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(`name: %s
availability_zone: hall-a
region: west
data_centre: west
listen: "%s"
peer_listen: "%s"
ops_listen: "%s"
platform:
  addresses: ["%s"]
peers:
  seeds: %s
log: {format: json}
pass_through:
  ready_listen: "%s"
  resolve_listen: "%s"
  memory_mb: 284
  processor_share: 0.4
  first_start: %v
  revoke_after: 5000ms
  apply_within: 2000ms
  leave_within: 2000ms
  grace: 8s
  retry_budget:
    ratio: 0.2
    window: 10s
    allowance: 54
  objective_placement: {miss_cost: 3s}
  objective_priority: {on_time_fraction: 0.6}
  replica_speeds: {half_life: 2s}
  fair_admission: {window: 2s, min_share: 1}
  service_admission: {}
`, n.name, n.entry, n.peer, n.ops, storeAddress, encoded, n.ready, n.directory, first)
	if duties != "" {
		text += fmt.Sprintf(`  duties:
    address: "%s"
    kinds: [metering]
    lease: 3000ms
    usage_window: 5s
    usage_delay: 10s
`, duties)
	}
	next := n.settings + ".new"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.settings)
}

func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = exec.Command(n.command, "--settings", n.settings)
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		close(ended)
	}(n.process, n.ended)
	return nil
}

// signal sends a signal to the process and returns a channel that is closed when the process has ended.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	// A process that has just ended takes no signal.
	_ = n.process.Process.Signal(s)
	return n.ended
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return nil
		}
	}
	return fmt.Errorf("not all nodes are ready after %s", limit)
}

// close ends everything that was started.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.process == nil {
			continue
		}
		n.signal(syscall.SIGCONT)
		<-n.signal(syscall.SIGKILL)
	}
	for _, end := range w.closers {
		end()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	_ = os.RemoveAll(w.dir)
}

// Ports for nodes are below those that the system gives to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

var nextPort = firstPort + os.Getpid()*37%(lastPort-firstPort-1000)

// freePort returns a loopback address on which nobody listens.
func freePort() (string, error) {
	for nextPort < lastPort {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, lastPort)
}
