package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
)

// onePipe is a listener that accepts one connection.
type onePipe struct {
	conn chan net.Conn
	done chan struct{}
}

func (p *onePipe) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conn:
		return conn, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *onePipe) Close() error   { close(p.done); return nil }
func (p *onePipe) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// serveOne serves the handler on one connection and returns the caller's end.
func serveOne(handler http.HandlerFunc) (caller net.Conn, stop func()) {
	server, caller := net.Pipe()
	listener := &onePipe{conn: make(chan net.Conn, 1), done: make(chan struct{})}
	listener.conn <- server
	s := &http.Server{Handler: handler}
	go func() { _ = s.Serve(listener) }()
	return caller, func() { _ = s.Close(); _ = caller.Close() }
}

func TestCallerThatDoesNotReadIsLetGo(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		const length = 1 << 20
		began, ended := time.Now(), make(chan time.Duration, 1)
		caller, stop := serveOne(func(w http.ResponseWriter, _ *http.Request) {
			giveTime(w, length)
			_, err := w.Write(make([]byte, length))
			if err == nil {
				t.Error("a body was written that nobody read")
			}
			ended <- time.Since(began)
		})
		defer stop()
		go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }()
		if took, want := <-ended, slowCaller+length/slowestBytes*time.Second; took != want {
			t.Errorf("held for %s, want %s", took, want)
		}
	})
}

func TestCallerThatDoesNotSendItsBodyIsRefused(t *testing.T) {
	c := fuzzCall(t)
	bubbletest.Run(t, func(t *testing.T) {
		const useful = 20 * time.Second
		began, refused := time.Now(), make(chan error, 1)
		caller, stop := serveOne(func(w http.ResponseWriter, r *http.Request) {
			slow := *c
			slow.giveUpAt = began.Add(useful)
			_, err := readBody(&slow, w, r)
			refused <- err
			w.WriteHeader(http.StatusBadRequest)
		})
		defer stop()
		go func() {
			_, _ = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{")
		}()
		refusedClearly(t, <-refused)
		if took := time.Since(began); took != useful {
			t.Errorf("held for %s, want %s", took, useful)
		}
		status, err := bufio.NewReader(caller).ReadString('\n')
		if err != nil || !strings.Contains(status, "400") {
			t.Errorf("status line %q, %v", status, err)
		}
	})
}
