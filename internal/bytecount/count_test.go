package bytecount

import (
	"io"
	"net"
	"testing"
)

func TestBothDirectionsAreCounted(t *testing.T) {
	listener, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		if _, err := io.ReadFull(conn, make([]byte, 5)); err != nil {
			done <- err
			return
		}
		_, err = conn.Write([]byte("yes"))
		done <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got := listener.Bytes.Load(); got != 8 {
		t.Errorf("%d bytes counted, want 8", got)
	}
}
