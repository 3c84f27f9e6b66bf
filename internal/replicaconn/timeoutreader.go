package replicaconn

import (
	"errors"
	"net"
	"os"
	"time"
)

// timeoutReader reads from a connection. A read that passes the connection's read deadline calls onTimeout, if there
// is one, and goes on unless that returns an error: readers above it, such as that of chunks, cannot go on after one.
type timeoutReader struct {
	conn      net.Conn
	onTimeout func() error
}

// Read implements io.Reader.
func (r *timeoutReader) Read(p []byte) (int, error) {
	for {
		n, err := r.conn.Read(p)
		if n > 0 || r.onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := r.onTimeout(); err != nil {
			return 0, err
		}
	}
}

// OnReadTimeout has reads that pass the read deadline call f. If it returns nil, the read goes on until the deadline
// that f has set; otherwise it fails with that error. nil: such reads fail.
func (c *Conn) OnReadTimeout(f func() error) { c.timeouts.onTimeout = f }

// SetReadDeadline sets the time at which reads time out; zero: never. It may be called from any goroutine, also to
// interrupt a read.
func (c *Conn) SetReadDeadline(t time.Time) {
	// Fails only on a closed connection, of which the next read reports the same.
	_ = c.netConn.SetReadDeadline(t)
}
