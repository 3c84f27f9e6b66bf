package replicaconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// openAndEmpty reports whether an idle connection is still open and has no unread data.
// Otherwise a new request could be lost or get the response to an earlier one.
func openAndEmpty(conn net.Conn) bool {
	if through, ok := conn.(throughNode); ok {
		return through.OpenAndEmpty()
	}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
