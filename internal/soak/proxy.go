package soak

import (
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with the bytes of its connections.
type mode int

// The modes. Silence and the one-way cuts keep the connections open and forward
// nothing (more), as a path does that has gone dark.
const (
	pass mode = iota
	slow
	silence
	cutRequests
	cutAnswers
	refuse
	// stall holds all bytes back until the mode changes; none are lost.
	stall
)

// slowBy is how long a slow proxy holds each piece back.
const slowBy = 150 * time.Millisecond

// proxy forwards loopback connections to a target that may change.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   mode
	conns  map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) now() (mode, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.target
}

// reset ends all connections without a proper close.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
	clear(p.conns)
}

// abort ends a connection by a reset.
func abort(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// end closes the listener and all connections as the end of a process does.
func (p *proxy) end() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *proxy) serve(near net.Conn) {
	m, target := p.now()
	if m == refuse {
		abort(near)
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		abort(near)
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	go p.copy(far, near, cutRequests)
	p.copy(near, far, cutAnswers)
}

// copy forwards one direction until it ends; cut is the mode that stops it.
func (p *proxy) copy(to, from net.Conn, cut mode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch m, _ := p.now(); m {
		case slow:
			time.Sleep(slowBy)
		case stall:
			p.awaitEnd(stall)
		case silence, cut:
			// What a dark path swallows is lost: bytes that came after it would
			// be taken for others, so that the connection stays dark.
			p.hold(from, to)
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.drop(to, from)
			return
		}
	}
}

// awaitEnd waits until the mode is another one.
func (p *proxy) awaitEnd(of mode) {
	for m, _ := p.now(); m == of; m, _ = p.now() {
		time.Sleep(stallPoll)
	}
}

// stallPoll is the interval at which a stalled connection looks for the end.
const stallPoll = 10 * time.Millisecond

// hold keeps a connection that has gone dark open until it is reset or the other
// side gives up.
func (p *proxy) hold(from, to net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := from.Read(buffer); err != nil {
			p.drop(from, to)
			return
		}
	}
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
