package dialer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/comfreybend/comfreybend/pkg/timer"
)

const (
	// checksPerTimeout is how often within the timeout the acknowledged bytes are looked at.
	checksPerTimeout = 6
	// maxWriteBytes bounds one write to the kernel, whose bytes count as written only at its end.
	maxWriteBytes = 16 << 10
)

type (
	// watchedConn is a connection that is reset when the other end acknowledges nothing for a
	// time. The timeout of the kernel does not suffice: it leaves the other end without a reset.
	watchedConn struct {
		net.Conn
		raw     syscall.RawConn
		timeout time.Duration
		// unacknowledged returns the number of bytes that the other end has not acknowledged.
		unacknowledged func() (int, error)
		// limitKernel sets the timeout of the kernel, or clears it. It is cleared while everything is
		// acknowledged: it would end an idle connection after the first lost keep-alive probe.
		limitKernel func(bool) error

		mu sync.Mutex
		// written counts the bytes written, acknowledged those that the other end has
		// acknowledged at the last check, and progressAt is when that last changed.
		written, acknowledged uint64
		progressAt            time.Duration
		// writes counts the writes in progress.
		writes int
		// watching reports that a check is due. expired reports that the connection was reset.
		watching, expired bool
	}

	// EarlyEndError reports that the other end has closed its side before it acknowledged all that was sent. A response
	// that is delimited by the end of the connection may have broken off.
	EarlyEndError struct {
		// Unacknowledged is in bytes.
		Unacknowledged int
	}

	// UnacknowledgedError reports a connection that was reset because the other end has not
	// acknowledged sent data for a time. It counts as the TCP timeout of the kernel.
	UnacknowledgedError struct {
		For time.Duration
	}
)

// Error implements error.
func (e *UnacknowledgedError) Error() string {
	return fmt.Sprintf("sent data was not acknowledged for %v", e.For)
}

// Error implements error.
func (e *EarlyEndError) Error() string {
	return fmt.Sprintf("the connection ended while %d bytes of the request were under way", e.Unacknowledged)
}

// Unwrap returns the error of the kernel for this.
func (e *UnacknowledgedError) Unwrap() error { return syscall.ETIMEDOUT }

// watch returns a connection that is reset if the other end acknowledges nothing for a time, or ended by
// the kernel after kernelTimeout. conn must discard unacknowledged data when it is closed; see
// DiscardOnClose.
func watch(conn *net.TCPConn, timeout, kernelTimeout time.Duration) (net.Conn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	unacknowledged := func() (n int, err error) {
		controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
		if controlErr != nil {
			return 0, controlErr
		}
		return n, err
	}
	limitKernel := func(limited bool) error {
		if limited {
			return UserTimeout(kernelTimeout)("", "", raw)
		}
		return UserTimeout(0)("", "", raw)
	}
	watched := &watchedConn{Conn: conn, raw: raw, timeout: timeout, unacknowledged: unacknowledged, limitKernel: limitKernel}
	return watched, limitKernel(false)
}

// Write writes data and watches that the other end acknowledges it.
func (c *watchedConn) Write(data []byte) (n int, err error) {
	for first := true; first || len(data) > 0 && err == nil; first = false {
		part := data[:min(len(data), maxWriteBytes)]
		if err = c.beginWrite(); err != nil {
			break
		}
		var written int
		written, err = c.Conn.Write(part)
		c.endWrite(written)
		data = data[written:]
		n += written
	}
	return n, c.cause(err)
}

// Read reads data. The end of the connection is an *EarlyEndError if sent data is not acknowledged: a connection that
// is closed with unread data is reset, but the reset may come after the end.
func (c *watchedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		if left, countErr := c.unacknowledged(); countErr == nil && left > 0 {
			err = &EarlyEndError{Unacknowledged: left}
		}
	}
	return n, c.cause(err)
}

// SyscallConn returns access to the socket.
func (c *watchedConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// cause returns the reason for which the connection was reset instead of an error that follows from
// it.
func (c *watchedConn) cause(err error) error {
	if err == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return &UnacknowledgedError{For: c.timeout}
	}
	return err
}

func (c *watchedConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.watching {
		if err := c.limitKernel(true); err != nil {
			return err
		}
		c.watching, c.progressAt = true, timer.Now()
		time.AfterFunc(c.timeout/checksPerTimeout, c.check)
	}
	c.writes++
	return nil
}

func (c *watchedConn) endWrite(written int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	c.written += uint64(written)
}

// check ends the watch if everything is acknowledged, and resets the connection if nothing has been
// acknowledged for the timeout.
func (c *watchedConn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending, err := c.unacknowledged()
	if err == nil && pending == 0 && c.writes == 0 {
		err = c.limitKernel(false)
		c.watching, c.acknowledged = false, c.written
	}
	if err != nil || !c.watching {
		// An error means that the connection is closed.
		c.watching = false
		return
	}
	now := timer.Now()
	if pending == 0 {
		c.progressAt = now
	}
	// The bytes of a write in progress are pending, but not counted yet.
	if acknowledged := c.written - min(c.written, uint64(pending)); acknowledged > c.acknowledged {
		c.acknowledged, c.progressAt = acknowledged, now
	}
	if now-c.progressAt < c.timeout {
		time.AfterFunc(c.timeout/checksPerTimeout, c.check)
		return
	}
	c.expired = true
	_ = c.Close()
}
