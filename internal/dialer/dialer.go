// Package dialer sets options of TCP connections that net.Dialer does not support.
package dialer

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Control is a function for net.Dialer.Control.
type Control func(network, address string, c syscall.RawConn) error

// UserTimeout returns a function that sets TCP_USER_TIMEOUT: the kernel closes the connection if
// sent data is not acknowledged for d.
func UserTimeout(d time.Duration) Control {
	return func(_, _ string, c syscall.RawConn) error {
		err := setOption(c, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Wrap(err, "setting the user timeout")
	}
}

// DiscardOnClose returns a function that calls another one and makes closing the connection
// discard the data that the other end has not acknowledged. By default the kernel goes on sending
// them.
func DiscardOnClose(control Control) Control {
	return func(network, address string, c syscall.RawConn) error {
		if err := control(network, address, c); err != nil {
			return err
		}
		err := setOption(c, func(fd int) error {
			return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		})
		return errors.Wrap(err, "setting the linger time")
	}
}

func setOption(c syscall.RawConn, set func(fd int) error) error {
	var optionErr error
	if err := c.Control(func(fd uintptr) { optionErr = set(int(fd)) }); err != nil {
		return err
	}
	return optionErr
}
