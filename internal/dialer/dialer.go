// Package dialer sets what the standard library does not set on connections.
package dialer

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for net.Dialer that gives a
// connection up once bytes have not been acknowledged for d.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err == nil {
			err = failed
		}
		return errors.Wrap(err, "setting the user timeout")
	}
}
