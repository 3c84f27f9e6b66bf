package replicapathrpc

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"

	replicapathv1 "galenatrestle/internal/gen/trestle/replicapath/v1"
)

type clientStream = connect.BidiStreamForClient[replicapathv1.ConnectRequest, replicapathv1.ConnectResponse]

// conn is a connection to a replica through another node.
type conn struct {
	stream *clientStream
	cancel context.CancelFunc
	helper string
	remote net.Addr

	mu sync.Mutex
	// changed is signalled when data, readErr or readDeadline is set, when data has been consumed, and at the deadline.
	changed *sync.Cond
	data    []byte
	readErr error
	// readDeadline is when reads time out; zero: never. atDeadline signals it.
	readDeadline time.Time
	atDeadline   *time.Timer
}

func newConn(stream *clientStream, cancel context.CancelFunc, helper, address string) *conn {
	c := &conn{stream: stream, cancel: cancel, helper: helper, remote: remoteAddress(address)}
	c.changed = sync.NewCond(&c.mu)
	go c.receive()
	return c
}

// receive takes messages from the stream, one at a time, until it ends.
func (c *conn) receive() {
	for {
		response, err := c.stream.Receive()
		c.mu.Lock()
		for len(c.data) > 0 && c.readErr == nil {
			c.changed.Wait()
		}
		switch {
		case c.readErr != nil:
		case err != nil:
			c.readErr = err
			if errors.Is(err, io.EOF) {
				c.readErr = io.EOF
			}
		default:
			c.data = response.GetData()
		}
		ended := c.readErr != nil
		c.changed.Broadcast()
		c.mu.Unlock()
		if ended {
			endStream(c.stream, c.cancel)
			return
		}
	}
}

// Read implements net.Conn. It returns io.EOF only if the replica closed the connection in order.
func (c *conn) Read(buffer []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.data) == 0 && c.readErr == nil {
		if !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
	if len(c.data) == 0 {
		return 0, c.readErr
	}
	n := copy(buffer, c.data)
	c.data = c.data[n:]
	c.changed.Broadcast()
	return n, nil
}

// Write implements net.Conn. After an error, some of the data may have reached the replica, so
// that all of it counts as written.
func (c *conn) Write(data []byte) (int, error) {
	if err := c.stream.Send(&replicapathv1.ConnectRequest{Data: data}); err != nil {
		return len(data), err
	}
	return len(data), nil
}

// OpenAndEmpty reports whether the connection is open and has no unread data.
func (c *conn) OpenAndEmpty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.data) == 0 && c.readErr == nil
}

// Via returns the name of the node that the connection goes through.
func (c *conn) Via() string { return c.helper }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr == nil {
		c.readErr = net.ErrClosed
	}
	if c.atDeadline != nil {
		c.atDeadline.Stop()
	}
	c.changed.Broadcast()
	endStream(c.stream, c.cancel)
	return nil
}

// endStream ends the stream at both sides. Its context alone does not end it while the transport
// waits for data to send.
func endStream(stream *clientStream, cancel context.CancelFunc) {
	cancel()
	// Errors mean that the stream has ended already.
	_ = stream.CloseRequest()
	_ = stream.CloseResponse()
}

// remoteAddress is a replica's address.
type remoteAddress string

func (remoteAddress) Network() string  { return "tcp" }
func (a remoteAddress) String() string { return string(a) }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return remoteAddress("") }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn. Deadlines of both directions are not supported.
func (c *conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.atDeadline != nil {
		c.atDeadline.Stop()
	}
	if !t.IsZero() {
		c.atDeadline = time.AfterFunc(time.Until(t), c.wakeReaders)
	}
	c.changed.Broadcast()
	return nil
}

func (c *conn) wakeReaders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

// SetWriteDeadline implements net.Conn. It is not supported: users close the connection.
func (c *conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
