package bytecount

import (
	"net"
	"sync/atomic"
)

// Conn is a connection whose bytes are added to Bytes.
type Conn struct {
	net.Conn
	Bytes *atomic.Int64
}

// Read implements net.Conn.
func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Bytes.Add(int64(n))
	return n, err
}
