package replicapath

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// traffic records how long requests have waited without data from any replica. It is safe for
// concurrent use.
type traffic struct {
	// waitingSince is the Unix time in nanoseconds of the first write after the last data; zero: none.
	waitingSince atomic.Int64
}

func (t *traffic) sent(now time.Time) { t.waitingSince.CompareAndSwap(0, now.UnixNano()) }

func (t *traffic) received() {
	if t.waitingSince.Load() != 0 {
		t.waitingSince.Store(0)
	}
}

// waited returns how long requests have waited; zero: none does.
func (t *traffic) waited(now time.Time) time.Duration {
	since := t.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// directConn is a direct connection that reports its traffic.
type directConn struct {
	net.Conn
	traffic *traffic
}

func (c *directConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.traffic.received()
	}
	return n, err
}

func (c *directConn) Write(data []byte) (int, error) {
	c.traffic.sent(time.Now())
	return c.Conn.Write(data)
}

// SyscallConn implements syscall.Conn for a TCP connection.
func (c *directConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return raw.SyscallConn()
}
