package replicaconn

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DefaultDialTimeout bounds the establishment of a connection, after which the
	// request is sent to another replica. The round-trip time to
	// replicas is a few milliseconds.
	DefaultDialTimeout = 250 * time.Millisecond
	// maxIdleTime is the longest time that an idle connection is kept.
	maxIdleTime = 4 * time.Second
	// idleMargin is subtracted from the replica's keep-alive timeout, so that the
	// replica does not close the connection while a request is in transit.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerReplica bounds the idle connections to one replica.
	maxIdlePerReplica = 8
	// unackedTimeout is how long sent data may remain unacknowledged before the
	// connection is closed, since a broken network path may not produce a reset.
	unackedTimeout = 3 * time.Second
	// TCP keep-alive: the first probe is sent after probeIdle without traffic, further
	// ones every probeInterval; the connection is closed after probeCount unanswered ones.
	probeIdle     = 1500 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// readBufferSize fits the head of a typical response.
	readBufferSize = 4 << 10
)

// ErrTooManyConnections means that this node has reached its limit of connections to a replica.
var ErrTooManyConnections = errors.New("node reached its connection limit for the replica")

// Pool is a connection pool for all replicas. It is safe for concurrent use.
type Pool struct {
	dial   Dial
	onOpen func(replica string)
	// isLeaving reports whether a node that carries connections is about to stop.
	isLeaving func(node string) bool

	mu       sync.Mutex
	replicas map[string]*connections
}

// connections is the pool's state of one replica. open counts connections in use, idle and
// being established.
type connections struct {
	idle []*Conn
	open int
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// NewPool returns an empty pool. onOpen, if not nil, is called for each new connection.
func NewPool(dial Dial, onOpen func(replica string)) *Pool {
	return &Pool{dial: dial, onOpen: onOpen, isLeaving: func(string) bool { return false }, replicas: make(map[string]*connections)}
}

// SetIsLeaving keeps the pool from reusing connections through nodes of which isLeaving reports that they are about
// to stop: these carry a request that is sent late only to their end. Call it before the first Open.
func (p *Pool) SetIsLeaving(isLeaving func(node string) bool) { p.isLeaving = isLeaving }

// TCPDial returns a Dial for TCP with the given dial timeout. Its connections close on a broken
// network path, by keep-alive probes and TCP_USER_TIMEOUT.
func TCPDial(timeout time.Duration) Dial {
	dialer := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
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

// Open returns an idle connection to the replica, or a new connection to its address if
// fewer than limit are open (zero: no limit). An error means that nothing was sent.
func (p *Pool) Open(ctx context.Context, replica, address string, limit int) (*Conn, error) {
	for c := p.takeIdle(replica); c != nil; c = p.takeIdle(replica) {
		if c.withinIdleTimeout(time.Now()) && !p.goesThroughLeavingNode(c) && openAndEmpty(c.netConn) {
			return c, nil
		}
		c.Close()
	}
	if !p.reserve(replica, limit) {
		return nil, ErrTooManyConnections
	}
	return p.connect(ctx, replica, address)
}

func (p *Pool) goesThroughLeavingNode(c *Conn) bool {
	via := c.Via()
	return via != "" && p.isLeaving(via)
}

// Probe checks that the replica accepts connections and adds the connection to the pool.
func (p *Pool) Probe(ctx context.Context, replica, address string) error {
	p.reserve(replica, 0)
	c, err := p.connect(ctx, replica, address)
	if err != nil {
		return err
	}
	p.putIdle(c)
	return nil
}

// Ask sends a short request on a new connection to the replica and returns nil once anything comes back. A connection
// that can be used again is added to the pool.
func (p *Pool) Ask(ctx context.Context, replica, address string, r *Request) error {
	p.reserve(replica, 0)
	c, err := p.connect(ctx, replica, address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, c.Close)
	if err = c.Send(r); err == nil {
		_, err = c.reader.Peek(1)
	}
	if err != nil {
		c.Close()
		return cmp.Or(ctx.Err(), err)
	}
	response := c.receiveShort(r.Method)
	if response == nil || !stop() {
		c.Close()
		return nil
	}
	c.Release(response)
	return nil
}

// maxShortBody bounds in bytes the body that receiveShort drops.
const maxShortBody = 4 << 10

// receiveShort returns the next response, whose body has been read; nil: it is no whole response, or a long one.
func (c *Conn) receiveShort(method string) *http.Response {
	response, err := c.Receive(method)
	if err != nil {
		return nil
	}
	if _, err = io.CopyN(io.Discard, response.Body, maxShortBody); !errors.Is(err, io.EOF) {
		return nil
	}
	return response
}

// connect opens a new connection, already counted by reserve.
func (p *Pool) connect(ctx context.Context, replica, address string) (*Conn, error) {
	conn, err := p.dial(ctx, address)
	if err != nil {
		p.unreserve(replica)
		return nil, err
	}
	if p.onOpen != nil {
		p.onOpen(replica)
	}
	timeouts := &timeoutReader{conn: conn}
	head := &headReader{conn: timeouts}
	return &Conn{
		pool: p, replica: replica, netConn: conn, timeouts: timeouts, head: head, reader: bufio.NewReaderSize(head, readBufferSize),
	}, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT to unackedTimeout. Errors are ignored: keep-alive probes and the
// request's deadline still apply.
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

func (c *Conn) withinIdleTimeout(now time.Time) bool {
	timeout := maxIdleTime
	if c.idleTimeout > 0 {
		timeout = min(timeout, c.idleTimeout-idleMargin)
	}
	return now.Sub(c.idleSince) < timeout
}

// Forget closes the idle connections to a deregistered replica. Connections in use are not
// affected.
func (p *Pool) Forget(replica string) {
	for c := p.takeIdle(replica); c != nil; c = p.takeIdle(replica) {
		c.Close()
	}
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	for _, c := range p.removeIdle(func(*Conn) bool { return true }) {
		c.Close()
	}
}

// CloseExpired closes connections that have reached their idle timeout.
func (p *Pool) CloseExpired(now time.Time) {
	for _, c := range p.removeIdle(func(c *Conn) bool { return !c.withinIdleTimeout(now) }) {
		c.Close()
	}
}

// removeIdle removes and returns the idle connections that remove selects.
func (p *Pool) removeIdle(remove func(*Conn) bool) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var removed []*Conn
	for _, conns := range p.replicas {
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if remove(c) {
				removed = append(removed, c)
			} else {
				kept = append(kept, c)
			}
		}
		conns.idle = kept
	}
	return removed
}

// takeIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) takeIdle(replica string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns, ok := p.replicas[replica]
	if !ok || len(conns.idle) == 0 {
		return nil
	}
	last := len(conns.idle) - 1
	c := conns.idle[last]
	conns.idle = conns.idle[:last]
	return c
}

func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	conns := p.replicas[c.replica]
	if conns != nil && len(conns.idle) < maxIdlePerReplica {
		c.idleSince = time.Now()
		conns.idle = append(conns.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.Close()
}

// reserve counts a new connection as open. It reports false if limit connections are open
// already (zero: no limit).
func (p *Pool) reserve(replica string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns, ok := p.replicas[replica]
	if !ok {
		conns = &connections{}
		p.replicas[replica] = conns
	}
	if limit > 0 && conns.open >= limit {
		return false
	}
	conns.open++
	return true
}

func (p *Pool) unreserve(replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreserveLocked(replica)
}

func (p *Pool) connClosed(c *Conn) { p.unreserve(c.replica) }

// unreserveLocked decrements the count of open connections. The lock is held.
func (p *Pool) unreserveLocked(replica string) {
	conns, ok := p.replicas[replica]
	if !ok {
		return
	}
	conns.open--
	if conns.open <= 0 {
		delete(p.replicas, replica)
	}
}
