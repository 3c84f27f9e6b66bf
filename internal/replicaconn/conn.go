package replicaconn

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"galenatrestle/internal/httphead"
)

// asyncWriteSize is the request size in bytes above which the request is written
// concurrently with reading the response. A replica may respond before it has read a
// long body, and a blocked write would then delay reading.
const asyncWriteSize = 8 << 10

// maxInterimResponses bounds the interim (1xx) responses before the final one.
const maxInterimResponses = 8

// Conn is a connection to a replica. It serves one request at a time and is used by one
// goroutine, except for Close.
type Conn struct {
	pool    *Pool
	replica string
	netConn net.Conn
	// timeouts reads from netConn, head bounds what reader gets of it for a response's head.
	timeouts *timeoutReader
	head     *headReader
	reader   *bufio.Reader
	// idleTimeout is the replica's announced keep-alive timeout; zero: none.
	idleTimeout time.Duration
	idleSince   time.Time
	// bytesSent counts the bytes of the current request written to the socket. It is set
	// to 1 before a background write.
	bytesSent    atomic.Int64
	pendingWrite sync.WaitGroup
	// writeErr is the error of writing the current request. It is valid once pendingWrite is done.
	writeErr error
	// sentAll is set once the whole request was written to the socket.
	sentAll   atomic.Bool
	closeOnce sync.Once
}

// SentAny reports whether any byte of the current request may have been written to the
// socket. From then on the replica may execute it.
func (c *Conn) SentAny() bool { return c.bytesSent.Load() > 0 }

// Via returns the name of the node that the connection goes through; empty for a direct one.
func (c *Conn) Via() string {
	if through, ok := c.netConn.(throughNode); ok {
		return through.Via()
	}
	return ""
}

// Send writes the request. Long requests are written in the background, so that the
// caller can read the response meanwhile.
func (c *Conn) Send(r *Request) error {
	c.bytesSent.Store(0)
	c.sentAll.Store(false)
	head := r.head()
	if len(head)+len(r.Body) <= asyncWriteSize {
		c.writeErr = c.write(net.Buffers{append(head, r.Body...)})
		return c.writeErr
	}
	// Set before the background write starts: reporting too early that the replica may
	// execute the request is safe.
	c.bytesSent.Store(1)
	c.pendingWrite.Add(1)
	go func() {
		defer c.pendingWrite.Done()
		c.writeErr = c.write(net.Buffers{head, r.Body})
	}()
	return nil
}

func (c *Conn) write(buffers net.Buffers) error {
	n, err := buffers.WriteTo(c.netConn)
	c.bytesSent.Add(n)
	if err == nil {
		c.sentAll.Store(true)
	}
	return err
}

var errTooManyInterim = errors.New("replica sent too many interim (1xx) responses")

// Receive reads the head of the next final response and skips interim ones. Heads over the limit
// fail with ErrHeadTooLong, those that are not HTTP with an *httphead.Error.
func (c *Conn) Receive(method string) (*http.Response, error) {
	c.head.begin()
	defer c.head.end()
	for range maxInterimResponses {
		response, err := c.readHead(method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errTooManyInterim
}

func (c *Conn) readHead(method string) (*http.Response, error) {
	// Peek returns what is buffered without an error.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.next(buffered)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err := c.head.parseError(err); err != nil {
		return nil, err
	}
	return response, httphead.Check(response)
}

// Buffered reports whether the read buffer contains unconsumed bytes.
func (c *Conn) Buffered() bool { return c.reader.Buffered() > 0 }

// SentAll reports whether the whole request was written to the socket.
func (c *Conn) SentAll() bool { return c.sentAll.Load() }

// AwaitSent waits until the request has been written, or could not be, and returns the error of that. The kernel reports
// a reset once: if writing gets it, reading ends with io.EOF, as if the replica had closed the connection in order.
func (c *Conn) AwaitSent() error {
	c.pendingWrite.Wait()
	return c.writeErr
}

// Close closes the connection. It may be called from any goroutine and more than once.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		_ = c.netConn.Close()
		c.pool.connClosed(c)
	})
}

// Release returns the connection to the pool if the response allows reuse, the whole request
// was written and no unconsumed bytes are buffered; otherwise it closes the connection. The
// caller must have read the response body completely.
func (c *Conn) Release(response *http.Response) {
	if response.Close || !c.SentAll() || c.Buffered() {
		c.Close()
		return
	}
	c.pendingWrite.Wait()
	c.idleTimeout = keepAliveTimeout(response.Header)
	c.pool.putIdle(c)
}
