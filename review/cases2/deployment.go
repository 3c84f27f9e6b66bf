package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"galenatrestle/platform/platformtest"
)

const (
	host   = "desk.example"
	apiKey = "key-of-shop"
	// modelService is the service of the streams, otherService one that they may be split to.
	modelService = "model"
	otherService = "model-b"
	// streamPath begins the targets of streams that may be resumed, oncePath of those that may not.
	streamPath = "/chat/"
	oncePath   = "/review/"
)

// deployment is the platform's store, the nodes and the replicas of one case.
type deployment struct {
	program string
	dir     string
	store   *platformtest.Store
	address string
	// perWrite is the number of events that the replicas in this process write together; zero: one.
	perWrite int
	// seeds is the list of the seeds as in the settings.
	seeds string
	began time.Time

	mu       sync.Mutex
	record   *os.File
	nodes    []*node
	replicas []*replicaProcess
	servers  []*http.Server
	closed   bool
}

func newDeployment(program, recordFile string) (*deployment, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{program: program, dir: dir, store: platformtest.NewStore(), record: record, began: time.Now()}
	d.address, err = d.serve(d.store)
	return d, err
}

// serve serves the handler on a free loopback port and returns its address.
func (d *deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	d.servers = append(d.servers, server)
	return listener.Addr().String(), nil
}

// recordf writes a line with the time since the start to the record.
func (d *deployment) recordf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary files.
func (d *deployment) close() {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return
	}
	d.closed = true
	d.mu.Unlock()
	for _, n := range d.nodes {
		n.kill()
	}
	for _, r := range d.replicas {
		r.kill()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// target is a service of a split route.
type target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// configure writes the operator's configuration: streams of the model, and a tenant with one key. The streams
// that may be resumed are split over the targets, if there are any.
func (d *deployment) configure(version int64, split ...target) {
	route := func(name, prefix string, resumable bool, attempts, timeoutMS, objectiveMS, gapMS int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "routeType": "streaming", "timeoutMs": timeoutMS, "objectiveMs": objectiveMS,
			"priority": 0, "service": modelService, "maxAttempts": attempts, "anonymous": false, "sticky": true, "resumable": resumable,
			"gapTargetMs": gapMS,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{
			"name": name, "healthPath": "/healthz", "maxConnections": 230,
			"engine": map[string]any{"slots": replicaSlots, "kvCapacityTokens": 292479},
		}
	}
	chat := route("r-chat", streamPath, true, 2, 15000, 300, 200)
	if len(split) > 0 {
		delete(chat, "service")
		chat["split"] = split
	}
	d.store.Put("op/config", map[string]any{
		"version":  version,
		"routes":   []map[string]any{chat, route("r-review", oncePath, false, 1, 5000, 600, 300)},
		"services": []map[string]any{service(modelService), service(otherService)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "shop", "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

// replicaSlots is the number of slots of each replica.
const replicaSlots = 32

// register writes a replica's entry.
func (d *deployment) register(id, service, version, address, state string, born time.Time) {
	d.store.Put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": "hall-a", "version": version, "slots": replicaSlots, "state": state,
		"coldRemainingMs": 0, "sequence": d.store.Calls(), "born": born.UnixMilli(),
	})
}

// node is a process of the program under review.
type node struct {
	name                        string
	listen, peer, ready, lookup string
	process                     *exec.Cmd
}

// startNodes starts count nodes and waits until all are ready.
func (d *deployment) startNodes(count int) error {
	var seeds []string
	for i := range count {
		n := &node{name: fmt.Sprintf("edge-%d", i+1)}
		for _, address := range []*string{&n.listen, &n.peer, &n.ready, &n.lookup} {
			free, err := freeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		d.nodes = append(d.nodes, n)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", n.peer))
		}
	}
	d.seeds = strings.Join(seeds, ", ")
	for _, n := range d.nodes {
		if err := d.start(n); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// Ports are taken from below those that the kernel gives to outgoing connections, which may otherwise
// take one before its process listens.
const (
	firstPort = 12000
	lastPort  = 30000
	portTries = 200
)

// taken has the ports that were given out.
var taken = make(map[int]bool)

// freeAddress returns a loopback address with a free port. It is called by one goroutine.
func freeAddress() (string, error) {
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if taken[port] {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		taken[port] = true
		return address, nil
	}
	return "", errors.New("no free port")
}

// settingsText is the deploy file's template with the bounds of the first deployment.
const settingsText = `name: %s
availability_zone: hall-a
region: sask-central
data_centre: sask-central
listen: "%s"
peer_listen: "%s"
ops_listen: "127.0.0.1:0"
platform:
  addresses: ["%s"]
peers:
  seeds: [%s]
log: {format: json}
pass_through:
  ready_listen: "%s"
  resolve_listen: "%s"
  memory_mb: 284
  processor_share: 0.4
  first_start: true
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
`

// start starts the node; its log is appended to a file of its own.
func (d *deployment) start(n *node) error {
	settings := filepath.Join(d.dir, n.name+".yaml")
	text := fmt.Sprintf(settingsText, n.name, n.listen, n.peer, d.address, d.seeds, n.ready, n.lookup)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command(d.program, "--settings", settings)
	n.process.Stdout, n.process.Stderr = log, log
	// A process group of its own: one in which a process is stopped may be hung up by the kernel.
	n.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return n.process.Start()
}

// startTimeout bounds the start of a process.
const startTimeout = 20 * time.Second

func (n *node) awaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + n.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(n.name + " is not ready")
}

func (n *node) signal(s syscall.Signal) { _ = n.process.Process.Signal(s) }

func (n *node) kill() {
	if n.process == nil || n.process.Process == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	_ = n.process.Wait()
}
