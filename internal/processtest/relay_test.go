package processtest

import (
	"errors"
	"io"
	"net"
	"sync"
)

// relay passes TCP connections on to a target. Cut, it drops nothing and passes
// nothing on, as a network that loses all packets: neither side hears of it.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	open  chan struct{} // closed while the relay passes bytes on
	conns map[net.Conn]bool
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, open: make(chan struct{}), conns: make(map[net.Conn]bool)}
	close(r.open)
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.keep(conn)
		go r.pass(conn)
	}
}

// pass connects to the target and copies both ways until one side ends. A
// target that refuses ends the caller's connection.
func (r *relay) pass(near net.Conn) {
	defer r.drop(near)
	r.wait()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.keep(far)
	defer r.drop(far)
	var both sync.WaitGroup
	both.Go(func() { r.copy(far, near) })
	both.Go(func() { r.copy(near, far) })
	both.Wait()
}

// copy passes bytes on, and the end of them, while the relay is open.
func (r *relay) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.wait()
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// wait returns once the relay is open.
func (r *relay) wait() {
	r.mu.Lock()
	open := r.open
	r.mu.Unlock()
	<-open
}

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.passes() {
		r.open = make(chan struct{})
	}
}

func (r *relay) restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.passes() {
		close(r.open)
	}
}

func (r *relay) passes() bool {
	select {
	case <-r.open:
		return true
	default:
		return false
	}
}

func (r *relay) keep(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = true
}

func (r *relay) drop(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = conn.Close()
	delete(r.conns, conn)
}

// close ends all connections.
func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.restore()
}
