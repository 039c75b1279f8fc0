package retirer

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// pendingOf returns a function that reports whether a connection has data that was not read yet, or
// was closed by the other end. It never does for a connection without a socket.
func pendingOf(conn net.Conn) func() bool {
	none := func() bool { return false }
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return none
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return none
	}
	return func() bool {
		idle := true
		// RawConn.Read would wait for the reader of the connection.
		err := raw.Control(func(fd uintptr) {
			_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			idle = errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
		})
		return err != nil || !idle
	}
}
