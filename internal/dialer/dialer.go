// Package dialer opens TCP connections with options that net.Dialer does not support.
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// A connection is given up if the other end does not acknowledge data for unacknowledgedTimeout,
	// or, with no data on its way, answers none of keepAliveCount probes: 3 to 4 s after it has
	// fallen silent. The timeout of the kernel is for processes that stand still meanwhile.
	keepAliveIdle         = time.Second
	keepAliveInterval     = time.Second
	keepAliveCount        = 3
	unacknowledgedTimeout = 1500 * time.Millisecond
	userTimeout           = 2 * time.Second
)

type (
	// Control is a function for net.Dialer.Control.
	Control func(network, address string, c syscall.RawConn) error

	// DialFunc is a function for http.Transport.DialContext.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
)

// Resetting returns a function that opens connections for requests that may be given up. A request
// does not arrive after its connection was closed or has failed because the other end was
// unreachable: what has not been acknowledged is discarded, and the connection reset. The system
// chooses the local address if local is nil.
func Resetting(connectTimeout time.Duration, local net.Addr) DialFunc {
	direct := &net.Dialer{
		Timeout:         connectTimeout,
		LocalAddr:       local,
		Control:         DiscardOnClose(UserTimeout(userTimeout)),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := direct.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			return watch(tcp, unacknowledgedTimeout, userTimeout)
		}
		return conn, nil
	}
}

// LocalAddr returns the local address of connections from an IP address, or nil if that is empty or
// malformed.
func LocalAddr(ip string) net.Addr {
	if address := net.ParseIP(ip); address != nil {
		return &net.TCPAddr{IP: address}
	}
	return nil
}

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
