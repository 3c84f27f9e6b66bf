package replicaconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DefaultDialTimeout bounds connecting: replicas are a few milliseconds
	// away, and one that is silent this long gets its request elsewhere.
	DefaultDialTimeout = 250 * time.Millisecond
	// maxIdle is how long a connection is kept where the replica does not say.
	maxIdle = 4 * time.Second
	// idleMargin is kept from the replica's own idle timeout, so that its
	// close does not cross a request.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerReplica bounds the idle connections to one replica.
	maxIdlePerReplica = 8
	// unackedTimeout ends a connection on which sent bytes stay unacknowledged:
	// paths may go silent without a reset.
	unackedTimeout = 3 * time.Second
	// Probes of a connection that is silent: the first after probeAfter, then
	// every probeEvery; probeCount without an answer end it.
	probeAfter = 1500 * time.Millisecond
	probeEvery = 500 * time.Millisecond
	probeCount = 3
	// readerSize holds a usual answer's head.
	readerSize = 4 << 10
)

// ErrTooManyConnections says that a replica has as many connections of this
// node as it may.
var ErrTooManyConnections = errors.New("replica has all the connections this node may open")

// Pool holds the connections. It is safe for concurrent use.
type Pool struct {
	dial Dial
	// onOpen is told of each new connection.
	onOpen func(replica string)

	mu       sync.Mutex
	replicas map[string]*connections
}

// connections are those to one replica.
type connections struct {
	idle []*Conn
	open int
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// NewPool returns an empty pool. onOpen is called for each new connection; nil
// for nobody.
func NewPool(dial Dial, onOpen func(replica string)) *Pool {
	return &Pool{dial: dial, onOpen: onOpen, replicas: make(map[string]*connections)}
}

// TCPDial returns a Dial that gives up after the timeout, and whose connections
// end when their path has gone silent.
func TCPDial(timeout time.Duration) Dial {
	dialer := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount,
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			setUserTimeout(conn)
		}
		return conn, err
	}
}

// Open returns a connection to the replica with the identity at the address:
// an idle one, or a new one if fewer than limit are open (zero: no limit). An
// error means that nothing was sent.
func (p *Pool) Open(ctx context.Context, replica, address string, limit int) (*Conn, error) {
	for c := p.take(replica); c != nil; c = p.take(replica) {
		if c.fresh(time.Now()) && quiet(c.net) {
			return c, nil
		}
		c.Close()
	}
	if !p.reserve(replica, limit) {
		return nil, ErrTooManyConnections
	}
	return p.connect(ctx, replica, address)
}

// Probe connects to the replica and keeps the connection for a later request.
func (p *Pool) Probe(ctx context.Context, replica, address string) error {
	p.reserve(replica, 0)
	c, err := p.connect(ctx, replica, address)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// connect opens a new connection, for which a place was reserved.
func (p *Pool) connect(ctx context.Context, replica, address string) (*Conn, error) {
	conn, err := p.dial(ctx, address)
	if err != nil {
		p.unreserve(replica)
		return nil, err
	}
	if p.onOpen != nil {
		p.onOpen(replica)
	}
	return &Conn{pool: p, replica: replica, net: conn, reader: bufio.NewReaderSize(conn, readerSize)}, nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged. Where the
// system refuses it, the keep-alive probes and the request's own time remain.
func setUserTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

func (c *Conn) fresh(now time.Time) bool {
	limit := maxIdle
	if c.idleFor > 0 {
		limit = min(limit, c.idleFor-idleMargin)
	}
	return now.Sub(c.idleAt) < limit
}

// Forget closes the idle connections to a replica that is gone; those in use
// end by themselves.
func (p *Pool) Forget(replica string) {
	for c := p.take(replica); c != nil; c = p.take(replica) {
		c.Close()
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	for _, c := range p.stale(now) {
		c.Close()
	}
}

func (p *Pool) stale(now time.Time) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var stale []*Conn
	for _, on := range p.replicas {
		kept := on.idle[:0]
		for _, c := range on.idle {
			if c.fresh(now) {
				kept = append(kept, c)
			} else {
				stale = append(stale, c)
			}
		}
		on.idle = kept
	}
	return stale
}

// take returns the idle connection used last, or nil.
func (p *Pool) take(replica string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	on, ok := p.replicas[replica]
	if !ok || len(on.idle) == 0 {
		return nil
	}
	last := len(on.idle) - 1
	c := on.idle[last]
	on.idle = on.idle[:last]
	return c
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	on := p.replicas[c.replica]
	if on != nil && len(on.idle) < maxIdlePerReplica {
		c.idleAt = time.Now()
		on.idle = append(on.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.Close()
}

func (p *Pool) reserve(replica string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	on, ok := p.replicas[replica]
	if !ok {
		on = &connections{}
		p.replicas[replica] = on
	}
	if limit > 0 && on.open >= limit {
		return false
	}
	on.open++
	return true
}

func (p *Pool) unreserve(replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(replica)
}

func (p *Pool) ended(c *Conn) { p.unreserve(c.replica) }

// release counts one connection less. The lock is held.
func (p *Pool) release(replica string) {
	on, ok := p.replicas[replica]
	if !ok {
		return
	}
	on.open--
	if on.open <= 0 {
		delete(p.replicas, replica)
	}
}
