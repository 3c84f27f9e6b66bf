package pathfault

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"galenatrestle/internal/replicaconn"
)

const (
	// pollInterval is the interval at which the file is read.
	pollInterval = 10 * time.Millisecond
	// hangTimeout is how long a hanging connection stays open, as TCP_USER_TIMEOUT would
	// have it.
	hangTimeout = 3 * time.Second
)

// gate applies the fault to connections. It is safe for concurrent use.
type gate struct {
	path string
	dial replicaconn.Dial

	mu    sync.Mutex
	fault Fault
	conns map[*conn]bool
}

// Dial returns a function that opens TCP connections to replicas as the file that FileVariable names
// has it, for the rest of the process. A file that does not exist means None.
func Dial() replicaconn.Dial {
	g := &gate{
		path: os.Getenv(FileVariable), dial: replicaconn.TCPDial(replicaconn.DefaultDialTimeout), conns: make(map[*conn]bool),
	}
	go g.follow()
	return g.open
}

func (g *gate) follow() {
	for range time.Tick(pollInterval) {
		content, err := os.ReadFile(g.path)
		if err != nil {
			content = nil
		}
		g.set(Fault(content))
	}
}

// set applies the fault to open connections.
func (g *gate) set(f Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f == g.fault {
		return
	}
	g.fault = f
	for c := range g.conns {
		c.apply(f)
	}
}

func (g *gate) current() Fault {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fault
}

// open opens a connection unless the fault prevents it.
func (g *gate) open(ctx context.Context, address string) (net.Conn, error) {
	switch g.current() {
	case Hang:
		ctx, cancel := context.WithTimeout(ctx, replicaconn.DefaultDialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, dialError(syscall.ETIMEDOUT)
	case Reset, LiveOn:
		return nil, dialError(syscall.ECONNREFUSED)
	}
	opened, err := g.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: opened.(*net.TCPConn), gate: g, hanging: make(chan struct{}), closed: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = true
	if c.resetOnSend = g.fault == ResetSent; c.resetOnSend {
		return c, nil
	}
	// The fault may have begun while the connection was established.
	c.apply(g.fault)
	return c, nil
}

func dialError(cause error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", cause)}
}
