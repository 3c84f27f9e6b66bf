package replicaconn

import (
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

// roundTrip sends a request, has the far end write the answer, and reads the response.
func roundTrip(t *testing.T, c *Conn, far net.Conn, answer string) (*http.Response, error) {
	t.Helper()
	if err := c.Send(&Request{Method: "GET", Target: "/", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Read(make([]byte, 1024)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(far, answer); err != nil {
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

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestClosedOrUnreadIdleConnectionIsNotReused(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"a late second answer": func(far net.Conn) { _, _ = io.WriteString(far, wholeAnswer) },
		"closed":               func(far net.Conn) { _ = far.Close() },
		"reset":                func(far net.Conn) { _ = far.(*net.TCPConn).SetLinger(0); _ = far.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			address, conns := listen(t)
			p := NewPool(TCPDial(time.Second), nil)
			c := open(t, p, address)
			far := <-conns
			response, err := roundTrip(t, c, far, wholeAnswer)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(response.Body)
			c.Release(response)
			if again := open(t, p, address); again != c {
				t.Fatal("an idle connection was not reused")
			}
			c.Release(response)
			disturb(far)
			// The far end's change may take a moment to pass the loopback device.
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
			far := <-conns
			response, err := roundTrip(t, c, far, "HTTP/1.1 200 OK\r\n\r\nbody without a length")
			if err != nil {
				t.Fatal(err)
			}
			first := make([]byte, 4)
			if _, err := io.ReadFull(response.Body, first); err != nil {
				t.Fatal(err)
			}
			_ = far.(*net.TCPConn).SetLinger(test.linger)
			_ = far.Close()
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
		"unacknowledged bytes, in ms": {unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())},
		"probes":                      {unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		"probe count":                 {unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount},
		"seconds to the first probe":  {unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int((probeIdle + time.Second - 1) / time.Second)},
		"seconds between probes":      {unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int((probeInterval + time.Second - 1) / time.Second)},
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
		t.Errorf("second connection: %v", err)
	}
	first.Close()
	first.Close()
	if _, err := p.Open(t.Context(), "i-1", address, 1); err != nil {
		t.Errorf("after the first was closed: %v", err)
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
