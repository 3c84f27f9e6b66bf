package replicaconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// listen starts a TCP listener and returns its address and a channel of accepted connections.
func listen(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return accept(t, listener)
}

func accept(t *testing.T, listener net.Listener) (string, <-chan net.Conn) {
	t.Cleanup(func() { listener.Close() })
	conns := make(chan net.Conn)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			conns <- conn
		}
	}()
	return listener.Addr().String(), conns
}

// roundTrip sends a request, writes rawResponse on the server's side, and reads the response.
func roundTrip(t *testing.T, c *Conn, server net.Conn, rawResponse string) (*http.Response, error) {
	t.Helper()
	if err := c.Send(&Request{Method: "GET", Target: "/", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Read(make([]byte, 1024)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(server, rawResponse); err != nil {
		t.Fatal(err)
	}
	return c.Receive("GET")
}

func open(t *testing.T, p *Pool, address string) *Conn {
	t.Helper()
	c, err := p.Open(t.Context(), "i-1", address, 0)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestClosedOrUnreadIdleConnectionIsNotReused(t *testing.T) {
	for name, serverAction := range map[string]func(net.Conn){
		"a late second answer": func(server net.Conn) { _, _ = io.WriteString(server, okResponse) },
		"closed":               func(server net.Conn) { _ = server.Close() },
		"reset":                func(server net.Conn) { _ = server.(*net.TCPConn).SetLinger(0); _ = server.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			address, conns := listen(t)
			p := NewPool(TCPDial(time.Second), nil)
			c := open(t, p, address)
			server := <-conns
			response, err := roundTrip(t, c, server, okResponse)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(response.Body)
			c.Release(response)
			if again := open(t, p, address); again != c {
				t.Fatal("an idle connection was not reused")
			}
			c.Release(response)
			serverAction(server)
			// The loopback device may deliver the server's data or close with a delay.
			for openAndEmpty(c.netConn) {
			}
			if again := open(t, p, address); again == c {
				t.Error("the connection was reused")
			}
		})
	}
}

func TestResetBodyIsIncomplete(t *testing.T) {
	for name, test := range map[string]struct {
		linger   int
		complete bool
	}{"closed": {-1, true}, "reset": {0, false}} {
		t.Run(name, func(t *testing.T) {
			address, conns := listen(t)
			c := open(t, NewPool(TCPDial(time.Second), nil), address)
			server := <-conns
			response, err := roundTrip(t, c, server, "HTTP/1.1 200 OK\r\n\r\nbody without a length")
			if err != nil {
				t.Fatal(err)
			}
			first := make([]byte, 4)
			if _, err := io.ReadFull(response.Body, first); err != nil {
				t.Fatal(err)
			}
			_ = server.(*net.TCPConn).SetLinger(test.linger)
			_ = server.Close()
			_, err = io.ReadAll(response.Body)
			if (err == nil) != test.complete {
				t.Errorf("error %v, want complete body %v", err, test.complete)
			}
			if !test.complete && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("error %v, want ECONNRESET", err)
			}
		})
	}
}

// Guards against connections that stay open on a broken network path, which sends no reset.
func TestDialSetsOptionsToDetectABrokenPath(t *testing.T) {
	address, _ := listen(t)
	conn, err := TCPDial(time.Second)(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for name, option := range map[string]struct{ level, option, want int }{
		"TCP_USER_TIMEOUT, in ms":    {unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())},
		"probes":                     {unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		"probe count":                {unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount},
		"seconds to the first probe": {unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int((probeIdle + time.Second - 1) / time.Second)},
		"seconds between probes":     {unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int((probeInterval + time.Second - 1) / time.Second)},
	} {
		var got int
		_ = raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), option.level, option.option) })
		if err != nil || got != option.want {
			t.Errorf("%s: %d, error %v, want %d", name, got, err, option.want)
		}
	}
}

func TestOpenRespectsTheConnectionLimit(t *testing.T) {
	address, conns := listen(t)
	p := NewPool(TCPDial(time.Second), nil)
	go func() {
		for range conns {
		}
	}()
	first, err := p.Open(t.Context(), "i-1", address, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Open(t.Context(), "i-1", address, 1); !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("second connection: error %v, want ErrTooManyConnections", err)
	}
	first.Close()
	first.Close()
	if _, err := p.Open(t.Context(), "i-1", address, 1); err != nil {
		t.Errorf("new connection after the first was closed: %v", err)
	}
}

func TestOpenReportsARefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	if _, err := NewPool(TCPDial(time.Second), nil).Open(t.Context(), "i-1", address, 0); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v, want ECONNREFUSED", err)
	}
}

func TestIdleConnectionsExpireBeforeTheReplicasTimeout(t *testing.T) {
	c := &Conn{idleSince: time.Unix(100, 0), idleTimeout: 2 * time.Second}
	for after, want := range map[time.Duration]bool{time.Second: true, 1300 * time.Millisecond: false, 3 * time.Second: false} {
		if got := c.withinIdleTimeout(c.idleSince.Add(after)); got != want {
			t.Errorf("within the idle timeout after %s: %v", after, got)
		}
	}
	for header, want := range map[string]time.Duration{
		"timeout=5": 5 * time.Second, "max=3, timeout=7": 7 * time.Second, "Timeout = 2": 2 * time.Second, "timeout=x": 0, "": 0, "timeout=-1": 0,
	} {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {header}}); got != want {
			t.Errorf("Keep-Alive %q: %s, want %s", header, got, want)
		}
	}
}

// carriedConn is a connection through another node.
type carriedConn struct{ net.Conn }

func (carriedConn) Via() string        { return "vm-2" }
func (carriedConn) OpenAndEmpty() bool { return true }

// Guards against requests that are cut by the exit of the node that carries their connection.
func TestConnectionThroughALeavingNodeIsNotReused(t *testing.T) {
	p := NewPool(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			for {
				if _, err := far.Read(make([]byte, 1024)); err != nil {
					return
				}
				_, _ = io.WriteString(far, okResponse)
			}
		}()
		return carriedConn{near}, nil
	}, nil)
	leaving := false
	p.SetIsLeaving(func(node string) bool { return leaving && node == "vm-2" })
	use := func() *Conn {
		c := open(t, p, "replica")
		if err := c.Send(&Request{Method: "GET", Target: "/", Host: "h"}); err != nil {
			t.Fatal(err)
		}
		response, err := c.Receive("GET")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(response.Body)
		c.Release(response)
		return c
	}
	first := use()
	if use() != first {
		t.Error("a connection through a node that stays is not reused")
	}
	leaving = true
	if use() == first {
		t.Error("a connection through a leaving node is reused")
	}
}

// Guards against a reset that nobody notices: the write that waits gets the error, and the read ends as if in order.
func TestResetWhileTheRequestIsWrittenIsReported(t *testing.T) {
	address, conns := listenWithSmallBuffers(t)
	p := NewPool(TCPDial(time.Second), nil)
	for range 30 {
		c := open(t, p, address)
		server := <-conns
		if err := c.Send(&Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 900_000)}); err != nil {
			t.Fatal(err)
		}
		_, _ = server.Read(make([]byte, 1024))
		_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\npart")
		response, err := c.Receive("POST")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(response.Body, make([]byte, len("part"))); err != nil {
			t.Fatal(err)
		}
		_ = server.(*net.TCPConn).SetLinger(0)
		server.Close()
		if _, err := io.ReadAll(response.Body); err == nil && c.AwaitSent() == nil {
			t.Error("a connection that was reset ended in order, and the request counts as sent")
		}
		c.Close()
	}
}

// listenWithSmallBuffers listens like listen, and takes little of what is sent before it reads.
func listenWithSmallBuffers(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096)
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1400)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return accept(t, listener)
}

// Only bytes of the replica show that it is there: the kernel accepts connections of a process that is being ended.
func TestAskedReplicaIsThereOnceAnythingComesBack(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		answers  bool
		reused   bool
	}{
		"response":                 {"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 2\r\n\r\nno", true, true},
		"response without length":  {"HTTP/1.1 421 Misdirected Request\r\n\r\nno", true, false},
		"part of a response":       {"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 9\r\n\r\nno", true, false},
		"bytes that are no answer": {"no answer\r\n\r\n", true, false},
		"nothing":                  {"", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			address, conns := listen(t)
			p := NewPool(TCPDial(time.Second), nil)
			go func() {
				server := <-conns
				_, _ = server.Read(make([]byte, 1024))
				_, _ = io.WriteString(server, test.response)
				if !test.reused {
					server.Close()
				}
			}()
			err := p.Ask(t.Context(), "i-1", address, &Request{Method: "GET", Target: "/", Host: "h"})
			if (err == nil) != test.answers {
				t.Errorf("error %v", err)
			}
			if reused := p.takeIdle("i-1") != nil; reused != test.reused {
				t.Errorf("connection is used again: %t", reused)
			}
		})
	}
}
