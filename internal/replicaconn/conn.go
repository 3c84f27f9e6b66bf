package replicaconn

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// writeAside is the size of a request from which it is written beside the
// reading of the answer: a replica may answer before it has read a long body,
// and connections have small windows.
const writeAside = 8 << 10

// maxInterim bounds the interim (1xx) answers before the final one.
const maxInterim = 8

// Conn is one connection, used for one request at a time by one goroutine.
type Conn struct {
	pool    *Pool
	replica string
	net     net.Conn
	reader  *bufio.Reader
	// idleFor is how long the replica keeps the connection idle; zero: it did
	// not say.
	idleFor time.Duration
	idleAt  time.Time
	// sent counts the bytes of the current request that the socket took.
	sent    atomic.Int64
	writing sync.WaitGroup
	// written is set once the whole request was handed to the socket.
	written atomic.Bool
	closed  sync.Once
}

// SentAny says whether a byte of the current request was handed to the socket:
// from then on the replica may run it.
func (c *Conn) SentAny() bool { return c.sent.Load() > 0 }

// Send writes the request, a long one beside the reading of its answer.
func (c *Conn) Send(r *Request) error {
	c.sent.Store(0)
	c.written.Store(false)
	head := r.head()
	if len(head)+len(r.Body) <= writeAside {
		return c.write(net.Buffers{append(head, r.Body...)})
	}
	// Counted before the first byte goes out, since the writer runs beside the
	// caller: to say too early that it may run is safe.
	c.sent.Store(1)
	c.writing.Add(1)
	go func() {
		defer c.writing.Done()
		// The reader meets the same failure, and tells it with what it knows.
		_ = c.write(net.Buffers{head, r.Body})
	}()
	return nil
}

func (c *Conn) write(buffers net.Buffers) error {
	n, err := buffers.WriteTo(c.net)
	c.sent.Add(n)
	if err == nil {
		c.written.Store(true)
	}
	return err
}

// errInterim says that a replica sent too many interim answers.
var errInterim = errors.New("too many interim answers")

// Receive reads the head of the next answer on the connection.
func (c *Conn) Receive(method string) (*http.Response, error) {
	for range maxInterim {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, errInterim
}

// Buffered says whether bytes wait that belong to no answer read so far.
func (c *Conn) Buffered() bool { return c.reader.Buffered() > 0 }

// SentAll says whether the whole request was handed to the socket.
func (c *Conn) SentAll() bool { return c.written.Load() }

// Close ends the connection. It may be called from any goroutine, and more
// than once.
func (c *Conn) Close() {
	c.closed.Do(func() {
		_ = c.net.Close()
		c.pool.ended(c)
	})
}

// Release gives the connection back for another request, if the last answer was
// read whole and allows it; else it is closed.
func (c *Conn) Release(response *http.Response) {
	if response.Close || !c.SentAll() || c.Buffered() {
		c.Close()
		return
	}
	c.writing.Wait()
	c.idleFor = keepAlive(response.Header)
	c.pool.put(c)
}
