package edge

import (
	"errors"
	"net"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// callerListener is a TCP listener whose Close leaves no connection behind: those that the kernel has already
// established are returned by Accept before it fails. A plain Close resets them, and with them requests that their
// callers have sent.
type callerListener struct {
	*net.TCPListener
	once   sync.Once
	closed error
	// pending are the connections established before Close. It is closed after them.
	pending chan net.Conn
}

// maxPending bounds the connections that Close takes over: the longest queue of the kernel by default.
const maxPending = 4096

func newCallerListener(l *net.TCPListener) *callerListener {
	return &callerListener{TCPListener: l, pending: make(chan net.Conn, maxPending)}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if !errors.Is(err, net.ErrClosed) {
		return conn, err
	}
	if conn, ok := <-l.pending; ok {
		return conn, nil
	}
	return nil, err
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	l.once.Do(func() {
		defer close(l.pending)
		established := l.takeEstablished()
		l.closed = l.TCPListener.Close()
		for _, fd := range established {
			if conn, err := connOf(fd); err == nil {
				l.pending <- conn
			}
		}
	})
	return l.closed
}

// takeEstablished returns the descriptors of the connections that the kernel has established.
func (l *callerListener) takeEstablished() []int {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	var established []int
	// An error means that the listener is closed already.
	_ = raw.Control(func(listener uintptr) {
		for len(established) < maxPending {
			fd, _, err := unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			established = append(established, fd)
		}
	})
	return established
}

// connOf returns the connection of the descriptor, which it takes over.
func connOf(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "caller")
	defer file.Close()
	return net.FileConn(file)
}
