package processtest

import (
	"fmt"
	"syscall"
)

// reservation keeps a loopback port for processes that are started, ended and
// started again: its socket is bound and never listens. The kernel gives the
// port to nobody who asks for any port, and a process that asks for this one
// gets it, since both sides set SO_REUSEADDR.
type reservation struct {
	socket  int
	address string
}

// reserve asks the kernel for a free port.
func reserve() (*reservation, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	r := &reservation{socket: socket}
	if err := r.bind(); err != nil {
		r.close()
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	return r, nil
}

func (r *reservation) bind() error {
	if err := syscall.SetsockoptInt(r.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(r.socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	bound, err := syscall.Getsockname(r.socket)
	if err != nil {
		return err
	}
	r.address = fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	return nil
}

func (r *reservation) close() { _ = syscall.Close(r.socket) }
