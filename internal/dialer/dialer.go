// Package dialer sets options of TCP connections that net.Dialer does not support.
package dialer

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// UserTimeout returns a function for net.Dialer.Control that sets TCP_USER_TIMEOUT: the
// kernel closes the connection if sent data is not acknowledged for d.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err == nil {
			err = optionErr
		}
		return errors.Wrap(err, "setting the user timeout")
	}
}
