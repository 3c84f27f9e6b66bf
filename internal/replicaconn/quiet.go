package replicaconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet says whether an idle connection is still open and holds no bytes that
// nobody asked for: the rest of a late second answer, or the replica's close.
// A request written on another kind would meet a foreign answer or be lost.
func quiet(conn net.Conn) bool {
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
