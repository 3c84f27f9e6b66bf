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

// Script answers one request on a replica's connection, byte by byte. It returns
// false to end the connection.
type Script func(c *Conn) bool

// Conn is one request at a replica.
type Conn struct {
	net.Conn
	Request *http.Request
	// Body is the request's body; nil where it is not read before the answer.
	Body []byte
	// Number counts the replica's requests from 1.
	Number int
}

// Answer writes a whole stamped answer.
func (c *Conn) Answer(status int, body string) bool {
	return c.AnswerFor(c.Request.Header.Get(HeaderID), status, body)
}

// AnswerFor writes a whole stamped answer to another call.
func (c *Conn) AnswerFor(id string, status int, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d Status\r\n%s: %s\r\n%s: s1\r\nContent-Length: %d\r\n\r\n%s",
		status, HeaderID, id, HeaderStamp, len(body), body)
	return err == nil
}

// Refuse writes that the request was not run.
func (c *Conn) Refuse(status int) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d Status\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, HeaderNotExecuted)
	return err == nil
}

// StartStream writes the head of a stream in chunks.
func (c *Conn) StartStream() error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		HeaderID, c.Request.Header.Get(HeaderID), HeaderStamp)
	return err
}

// WriteChunk writes one chunk of a stream; an empty one ends it.
func (c *Conn) WriteChunk(data string) error {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(data), data)
	return err
}

// bodyReading says when a replica reads the body of a request.
type bodyReading int

const (
	bodyBeforeAnswer bodyReading = iota
	bodyAfterAnswer
	bodyNever
)

// Replica is a replica on in-memory connections.
type Replica struct {
	replica.Replica
	script Script
	// bodies says when the replica reads the bodies of requests.
	bodies bodyReading
	// crashed is closed by Crash.
	crashed chan struct{}

	mu       sync.Mutex
	requests []*http.Request
	opened   int
	down     bool
	open     []net.Conn
}

// NewReplica returns a replica of the upstream that follows the script.
func NewReplica(id, upstream string, script Script) *Replica {
	return &Replica{
		Replica: replica.Replica{ID: id, Upstream: upstream, Address: id, Slots: 4},
		script:  script,
		crashed: make(chan struct{}),
	}
}

// NeverReadBodies has the replica answer without reading the request's body, nor
// anything else on that connection.
func (r *Replica) NeverReadBodies() *Replica {
	r.bodies = bodyNever
	return r
}

// ReadBodiesAfterAnswers has the replica read a request's body once it has answered,
// as servers do that take another request on the connection.
func (r *Replica) ReadBodiesAfterAnswers() *Replica {
	r.bodies = bodyAfterAnswer
	return r
}

// Requests are the requests that have come.
func (r *Replica) Requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*http.Request(nil), r.requests...)
}

// ConnectionCount is the number of connections that were opened.
func (r *Replica) ConnectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// Crash ends all connections and refuses new ones.
func (r *Replica) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.down = true
	close(r.crashed)
	for _, c := range r.open {
		_ = c.Close()
	}
	r.open = nil
}

// connect returns the near end of a new connection; false: it is down.
func (r *Replica) connect() (net.Conn, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, false
	}
	near, far := net.Pipe()
	r.opened++
	r.open = append(r.open, far)
	go r.serve(far)
	return near, true
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

// answer runs the script for a request; false ends the connection.
func (r *Replica) answer(conn net.Conn, request *http.Request) bool {
	c := &Conn{Conn: conn, Request: request, Number: r.note(request)}
	if r.bodies == bodyBeforeAnswer {
		var err error
		if c.Body, err = io.ReadAll(request.Body); err != nil {
			return false
		}
	}
	if !r.script(c) {
		return false
	}
	switch r.bodies {
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

func (r *Replica) note(request *http.Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
	return len(r.requests)
}
