package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"galenatrestle/internal/soak/pathfault"
)

// Bounds of the deployment, which the settings tell the nodes.
const (
	revokeAfter  = 3 * time.Second
	applyWithin  = 2 * time.Second
	drainWithin  = 2 * time.Second
	defaultGrace = 3 * time.Second
	retryPer10s  = 60
	retryRatio   = 0.2
	startTimeout = 10 * time.Second
	dutyLease    = 2 * time.Second
	usageWindow  = time.Second
	usageDelay   = 10 * time.Second
	// lateDuties is the part of the duties' calls that are carried out seconds later,
	// unanswered.
	lateDuties = 0.1
)

// node is one process of the program and its paths.
type node struct {
	name    string
	command []string
	dir     string
	store   *proxy
	// duties is the address that takes the calls of the fleet's duties.
	duties string
	entry  string
	peer   string
	ops    string
	ready  string

	// grace is the time that the process has to stop.
	grace time.Duration
	// memoryMB is the process's memory in MB; zero: it is not bounded. peakMemory is the most bytes of
	// resident memory seen.
	memoryMB, peakMemory int

	// busy is held by the event that the process is subject to.
	busy sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// stopping is set while the run itself ends the process.
	stopping bool
	// exits counts the ends that the run did not cause.
	exits int
	// disturbances are when faults of the process began and ended.
	disturbances []time.Time
}

// disturbed notes that a fault of the process begins or ends now.
func (n *node) disturbed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbances = append(n.disturbances, time.Now())
}

// newNode chooses the addresses and writes the settings, with the seeds' peers.
func newNode(name, dir string, command []string, store *proxy, duties string) (*node, error) {
	n := &node{name: name, command: command, dir: dir, store: store, duties: duties}
	for _, address := range []*string{&n.entry, &n.peer, &n.ops, &n.ready} {
		free, err := ports.free()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return n, nil
}

func (n *node) settings() string { return filepath.Join(n.dir, n.name+".yaml") }

// pathFault is the file that names the fault of the node's connections to replicas.
func (n *node) pathFault() string { return filepath.Join(n.dir, n.name+".fault") }

// writeSettings writes the settings file whole.
func (n *node) writeSettings(seed string) error {
	text := fmt.Sprintf(`name: %s
availability_zone: hall-a
region: west
data_centre: west
listen: %s
peer_listen: %s
ops_listen: %s
platform: {addresses: ["%s"]}
peers: {seeds: ["%s"]}
log: {format: json}
pass_through:
  ready_listen: %s
  resolve_listen: %s
  revoke_after: %s
  apply_within: %s
  grace: %s
  memory_mb: %d
  retry_budget: {ratio: %g, window: 10s, allowance: %d}
  duties: {address: "%s", kinds: [metering, autoscale], lease: %s, usage_window: %s, usage_delay: %s}
`, n.name, n.entry, n.peer, n.ops, n.store.address(), seed, n.ready, n.ready, revokeAfter, applyWithin, n.grace, n.memoryMB, retryRatio, retryPer10s,
		n.duties, dutyLease, usageWindow, usageDelay)
	next := n.settings() + ".new"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.settings())
}

// start starts the process; its log is appended to a file of its own.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	process := exec.Command(n.command[0], append(n.command[1:], "--settings", n.settings())...)
	process.Stdout, process.Stderr = log, log
	process.Env = append(os.Environ(), pathfault.FileVariable+"="+n.pathFault())
	// In the soak's own process group a paused process ends the soak: when the shell that
	// began it ends, the kernel hangs up a group in which a process is stopped.
	process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := process.Start(); err != nil {
		return err
	}
	n.process, n.ended, n.stopping = process, make(chan struct{}), false
	go n.wait(process, n.ended)
	return nil
}

func (n *node) wait(process *exec.Cmd, ended chan struct{}) {
	// The exit code tells nothing that the log does not.
	_ = process.Wait()
	n.mu.Lock()
	if !n.stopping {
		n.exits++
	}
	n.mu.Unlock()
	close(ended)
}

// signal sends a signal to the process that runs now. ends says that it is meant
// to end by it.
func (n *node) signal(s syscall.Signal, ends bool) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ends {
		n.stopping = true
	}
	// A process that has just ended takes no signal.
	_ = n.process.Process.Signal(s)
	return n.ended
}

// awaitListening waits until the process takes connections, for a while at most.
func (n *node) awaitListening() {
	for range listenTries {
		conn, err := net.DialTimeout("tcp", n.ready, listenPause)
		if err == nil {
			_ = conn.Close()
			return
		}
		time.Sleep(listenPause)
	}
}

// A process that has just started is looked for so many times, after such a pause.
const (
	listenTries = 100
	listenPause = 20 * time.Millisecond
)

// stop asks the process to stop and reports whether it did in its grace time.
func (n *node) stop() bool {
	ended := n.signal(syscall.SIGTERM, true)
	due := time.Now().Add(n.grace)
	if endsWithin(ended, n.grace) {
		return true
	}
	// Where the whole machine stood still, this process is late as well, and the node gets
	// that time once more.
	if endsWithin(ended, time.Since(due)) {
		return true
	}
	<-n.signal(syscall.SIGKILL, true)
	return false
}

func endsWithin(ended <-chan struct{}, d time.Duration) bool {
	select {
	case <-ended:
		return true
	case <-time.After(d):
		return false
	}
}

// kill ends the process at once.
func (n *node) kill() { <-n.signal(syscall.SIGKILL, true) }
