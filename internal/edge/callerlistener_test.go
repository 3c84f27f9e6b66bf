package edge

import (
	"errors"
	"io"
	"net"
	"testing"
)

// Guards against requests that are reset because their connections were established and not accepted when the node
// closed its listener.
func TestConnectionsEstablishedBeforeCloseAreAccepted(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newCallerListener(plain.(*net.TCPListener))
	const count = 5
	var callers []net.Conn
	for range count {
		caller, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		if _, err := io.WriteString(caller, "request"); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, caller)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for range count {
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(conn, make([]byte, len("request"))); err != nil {
			t.Errorf("read: %v", err)
		}
		if _, err := io.WriteString(conn, "answer"); err != nil {
			t.Errorf("write: %v", err)
		}
		conn.Close()
	}
	for _, caller := range callers {
		if answer, err := io.ReadAll(caller); err != nil || string(answer) != "answer" {
			t.Errorf("the caller got %q, error %v", answer, err)
		}
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v after the last connection, want %v", err, net.ErrClosed)
	}
}
