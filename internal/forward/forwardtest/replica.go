package forwardtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"galenatrestle/internal/replica"
)

// Script writes the response to one request. It returns false to close the
// connection.
type Script func(c *Conn) bool

// Conn is a replica's side of a connection, with the current request.
type Conn struct {
	net.Conn
	Request *http.Request
	// Body is the request's body; nil if it is not read before the response.
	Body []byte
	// Number is the request's number at this replica, starting at 1.
	Number int
}

// Answer writes a complete response with the replica's stamp.
func (c *Conn) Answer(status int, body string) bool {
	return c.AnswerFor(c.Request.Header.Get(HeaderID), status, body)
}

// AnswerFor writes a complete response with the replica's stamp for the call id.
func (c *Conn) AnswerFor(id string, status int, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d Status\r\n%s: %s\r\n%s: s1\r\nContent-Length: %d\r\n\r\n%s",
		status, HeaderID, id, HeaderStamp, len(body), body)
	return err == nil
}

// Refuse writes a response saying that the request was not executed.
func (c *Conn) Refuse(status int) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d Status\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, HeaderNotExecuted)
	return err == nil
}

// StartStream writes the head of a chunked event stream.
func (c *Conn) StartStream() error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		HeaderID, c.Request.Header.Get(HeaderID), HeaderStamp)
	return err
}

// WriteChunk writes one chunk of a stream; an empty one ends the stream.
func (c *Conn) WriteChunk(data string) error {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(data), data)
	return err
}

// bodyReading says when a replica reads request bodies.
type bodyReading int

const (
	bodyBeforeAnswer bodyReading = iota
	bodyAfterAnswer
	bodyNever
)

// Replica is a scripted replica on in-memory connections.
type Replica struct {
	replica.Replica
	script   Script
	readBody bodyReading
	crashed  chan struct{}

	mu          sync.Mutex
	requests    []*http.Request
	connections int
	down        bool
	openConns   []net.Conn
}

// NewReplica returns a replica of the upstream that runs script for each request.
func NewReplica(id, upstream string, script Script) *Replica {
	return &Replica{
		Replica: replica.Replica{ID: id, Upstream: upstream, Address: id, Slots: 4},
		script:  script,
		crashed: make(chan struct{}),
	}
}

// NeverReadBodies makes the replica answer without reading the request's body or
// anything else on that connection.
func (r *Replica) NeverReadBodies() *Replica {
	r.readBody = bodyNever
	return r
}

// ReadBodiesAfterAnswers makes the replica read a request's body after its
// response, as servers do that keep the connection open.
func (r *Replica) ReadBodiesAfterAnswers() *Replica {
	r.readBody = bodyAfterAnswer
	return r
}

// Requests returns the requests received so far.
func (r *Replica) Requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*http.Request(nil), r.requests...)
}

// ConnectionCount returns the number of connections accepted so far.
func (r *Replica) ConnectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connections
}

// Crash closes all connections and refuses new ones.
func (r *Replica) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.down = true
	close(r.crashed)
	for _, c := range r.openConns {
		_ = c.Close()
	}
	r.openConns = nil
}

func (r *Replica) connect() (net.Conn, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, false
	}
	clientConn, serverConn := net.Pipe()
	r.connections++
	r.openConns = append(r.openConns, serverConn)
	go r.serve(serverConn)
	return clientConn, true
}

func (r *Replica) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !r.answer(conn, request) {
			return
		}
	}
}

// answer runs the script for a request and reports whether the connection stays open.
func (r *Replica) answer(conn net.Conn, request *http.Request) bool {
	c := &Conn{Conn: conn, Request: request, Number: r.record(request)}
	if r.readBody == bodyBeforeAnswer {
		var err error
		if c.Body, err = io.ReadAll(request.Body); err != nil {
			return false
		}
	}
	if !r.script(c) {
		return false
	}
	switch r.readBody {
	case bodyNever:
		<-r.crashed
		return false
	case bodyAfterAnswer:
		_, err := io.Copy(io.Discard, request.Body)
		return err == nil
	default:
		return true
	}
}

func (r *Replica) record(request *http.Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
	return len(r.requests)
}
