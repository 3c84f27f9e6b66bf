package bytecount

import (
	"net"
	"sync/atomic"
)

// Listener counts the bytes of all connections that it accepts.
type Listener struct {
	net.Listener
	Bytes atomic.Int64
}

// Listen opens a counting listener on a loopback port that the system chooses.
func Listen() (*Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: listener}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Conn{Conn: conn, Bytes: &l.Bytes}, nil
}
