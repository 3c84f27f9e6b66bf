package pathfault

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// conn is a connection through a gate.
type conn struct {
	*net.TCPConn
	gate      *gate
	hangOnce  sync.Once
	hanging   chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
	// resetOnSend resets the connection when something is sent.
	resetOnSend bool
}

// apply applies the fault to the open connection. The gate's lock is held.
func (c *conn) apply(f Fault) {
	switch f {
	case Hang, Mute:
		c.hang()
	case Reset, ResetSent:
		c.abort()
	}
}

// hang stops all data from now on, and closes the connection after hangTimeout.
func (c *conn) hang() {
	c.hangOnce.Do(func() {
		close(c.hanging)
		time.AfterFunc(hangTimeout, c.abort)
	})
}

func (c *conn) isHanging() bool {
	select {
	case <-c.hanging:
		return true
	default:
		return false
	}
}

// Read gets nothing from a hanging connection until it is closed or its deadline has passed.
func (c *conn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(buffer)
		if !c.isHanging() || errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write discards the data on a hanging connection.
func (c *conn) Write(data []byte) (int, error) {
	if c.isHanging() {
		return len(data), nil
	}
	if c.resetOnSend {
		c.abort()
		return len(data), nil
	}
	return c.TCPConn.Write(data)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	go c.gate.forget(c)
	return c.TCPConn.Close()
}

// abort resets the connection. The gate's lock may be held.
func (c *conn) abort() {
	// The connection is closed right after, which reports the same failure.
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (g *gate) forget(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}
