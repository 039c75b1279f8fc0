// Package bounder bounds the bytes that the system holds for accepted connections until they are read: by default it
// lets the receive buffer of each connection grow to several megabytes.
package bounder

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// usualBuffer is the receive buffer of a connection in bytes. It is as large as the window that TCP can announce in a
	// handshake: with a smaller one the system drops what a client may send, and clients send that again only after
	// 200 ms.
	usualBuffer = 64 << 10
	// largestBuffer is the receive buffer of a connection while a large body is read, in bytes. It carries 1,000 Mbit/s
	// over a round trip of 4 ms: 125,000,000 bytes/s x 0.004 s = 500,000 bytes.
	largestBuffer = 512 << 10
	// Bounds of the connections that wait to be accepted.
	minBacklog = 128
	maxBacklog = 4096
)

type (
	// Bounder sets the receive buffers of connections. It keeps no state but its settings.
	Bounder struct {
		// backlog is the number of connections that may wait to be accepted, 0 to leave all to the system.
		backlog int
		// set sets the options of a connection.
		set func(conn net.Conn, o options)
	}

	// options are socket options in bytes. Zero leaves one as it is.
	options struct {
		buffer int
		// window is the largest window that is announced. The system accepts what has been announced before.
		window int
	}

	// Conn is the connection of a request. Its methods do nothing if it is nil.
	Conn struct {
		bounder *Bounder
		conn    net.Conn
		grown   bool
	}

	listener struct {
		net.Listener
		bounder *Bounder
	}

	// connKey is the context key of the *Conn of a request.
	connKey struct{}
)

// New returns a Bounder for an amount of memory for unread bytes. Without memory it leaves all to the system.
func New(memory int64) *Bounder {
	if memory <= 0 {
		return &Bounder{}
	}
	// A half of the memory, as the rest is for connections that are accepted.
	return &Bounder{backlog: int(min(maxBacklog, max(minBacklog, memory/2/usualBuffer))), set: set}
}

// Wrap returns a listener whose connections have the usual buffer, and of which fewer wait to be accepted. A system that
// does not support this is left as it is.
func (b *Bounder) Wrap(l net.Listener) net.Listener {
	if b.set == nil {
		return l
	}
	// A second call of listen changes the number of waiting connections only.
	control(l, func(fd int) { _ = syscall.Listen(fd, b.backlog) })
	return &listener{Listener: l, bounder: b}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.bounder.set(conn, options{buffer: usualBuffer, window: usualBuffer})
	}
	return conn, err
}

// ConnContext adds a connection to the context of its requests, for http.Server.ConnContext.
func (b *Bounder) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &Conn{bounder: b, conn: conn})
}

// From returns the connection of a request, nil if it has none of its own.
func From(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if r.ProtoMajor > 1 {
		// Its connection carries other requests too.
		return nil
	}
	return c
}

// Grow sets the receive buffer for a body of which a number of bytes are still to come, so that these come at the speed
// of the link.
func (c *Conn) Grow(bytes int64) {
	if c == nil || c.bounder.set == nil || c.grown || bytes <= usualBuffer {
		return
	}
	c.grown = true
	size := int(min(largestBuffer, bytes))
	c.bounder.set(c.conn, options{buffer: size, window: size})
}

// Shrink sets the window to its usual size after the body has been read.
func (c *Conn) Shrink() {
	if c != nil && c.grown {
		c.grown = false
		c.bounder.set(c.conn, options{window: usualBuffer})
	}
}

// Interrupt makes a read of the connection that is in progress fail, and later ones until another deadline is set. The
// connection must be closed after the response.
func (c *Conn) Interrupt() {
	if c != nil {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// set sets options of a connection below those that wrap it. What the system does not support has no effect.
func set(conn net.Conn, o options) {
	for wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok; wrapped, ok = conn.(interface{ NetConn() net.Conn }) {
		conn = wrapped.NetConn()
	}
	control(conn, func(fd int) {
		if o.buffer > 0 {
			_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, o.buffer)
		}
		if o.window > 0 {
			_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, o.window)
		}
	})
}

// control calls f with the descriptor of a listener or a connection, if it has one.
func control(socket any, f func(fd int)) {
	if s, ok := socket.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { f(int(fd)) })
		}
	}
}
