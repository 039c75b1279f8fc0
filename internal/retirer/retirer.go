// Package retirer keeps connections to upstreams from carrying another request after an exchange has
// failed on them, or the same request twice. An upstream may send an answer too many, which
// would be taken for that to the next request. It also keeps an http.Transport from sending a request
// again by itself.
//
// An http.Transport may hand a connection to the next request before its caller has looked at the
// response to the last one. A connection that must not be used any more therefore fails the write of
// a request before its first byte, so that the request can be sent on another one.
package retirer

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// rememberedRequests is the number of requests that a connection remembers. An upstream sends an
// answer too many soon after the first one.
const rememberedRequests = 64

type (
	// RequestID identifies a request and all its copies.
	RequestID string

	// Conn is a connection that carries one request at a time.
	Conn struct {
		net.Conn
		// pending reports that there is data for which no request was sent, or that the connection
		// is closed; nil if that is not known.
		pending func() bool

		mu sync.Mutex
		// current is the latest exchange.
		current *Exchange
		// last reports that no request may follow the current one, retired that none may be written.
		last, retired bool
		// carried holds the hashes of the latest requests, of which next is overwritten first.
		carried [rememberedRequests]uint64
		next    int
		// exchanges counts all requests.
		exchanges int
		// broken is the error that ended the connection; nil as long as it can be read.
		broken error
	}

	// Exchange is a request and its response on a connection.
	Exchange struct {
		conn *Conn
		// before is the number of exchanges that the connection has carried before.
		before int
		resend error
		// written reports that a part of the request may have left. It and blocked are guarded by the
		// connection's mutex.
		written, blocked bool
	}

	// RetiredError reports a request of which no byte was written, since its connection must not
	// carry it.
	RetiredError struct{}

	// ResendError reports a request that the transport would have sent again after the connection
	// broke on which a part of it may have left.
	ResendError struct {
		// Cause is the error that ended the connection.
		Cause error
	}

	// DialFunc is a function for http.Transport.DialContext.
	DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)
)

// Error implements error.
func (e *RetiredError) Error() string { return "the connection must not carry the request" }

// Error implements error.
func (e *ResendError) Error() string { return "the connection broke: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ResendError) Unwrap() error { return e.Cause }

// IsResent reports whether an http.Transport may send requests of a method again on its own when a connection that was
// used before breaks.
func IsResent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// Wrap returns a function that establishes connections of type *Conn.
func Wrap(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn, pending: pendingOf(conn)}, nil
	}
}

// Begin begins an exchange on a connection that the transport has chosen for a request, before the
// request is written. The write fails with a *RetiredError if the connection must not carry it, or if
// a part of the request may have left in the exchange before, which is nil for the first connection.
// Connections that Wrap has not made may carry any request.
func Begin(conn net.Conn, request RequestID, before *Exchange) *Exchange {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	c, ok := conn.(*Conn)
	if !ok {
		return nil
	}
	resend := before.resendError()
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := xxhash.Sum64String(string(request))
	for _, known := range c.carried {
		c.retired = c.retired || known == hash
	}
	c.retired = c.retired || c.last || resend != nil
	c.carried[c.next] = hash
	c.next = (c.next + 1) % rememberedRequests
	c.current = &Exchange{conn: c, blocked: c.retired, before: c.exchanges, written: resend != nil, resend: resend}
	c.exchanges++
	return c.current
}

// Before returns the number of exchanges that the connection has carried before this one.
func (e *Exchange) Before() int {
	if e == nil {
		return 0
	}
	return e.before
}

// resendError returns a *ResendError if a part of the request may have left.
func (e *Exchange) resendError() error {
	if !e.Written() {
		return nil
	}
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	return &ResendError{Cause: cmp.Or(e.conn.broken, io.ErrUnexpectedEOF)}
}

// ResendError returns a *ResendError if the request is not written since the transport sends it again.
func (e *Exchange) ResendError() error {
	if e == nil {
		return nil
	}
	return e.resend
}

// Written reports that a part of the request may have left.
func (e *Exchange) Written() bool {
	if e == nil {
		return false
	}
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	return e.written
}

// Blocked reports that no byte of the request is written, since the connection must not carry it.
func (e *Exchange) Blocked() bool {
	if e == nil {
		return false
	}
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	return e.blocked
}

// Retire keeps the connection from carrying another request. It is closed unless another exchange has
// begun, which it then ends with.
func (e *Exchange) Retire() {
	if e == nil {
		return
	}
	e.conn.mu.Lock()
	current := e.conn.current == e
	e.conn.last = true
	e.conn.mu.Unlock()
	if current {
		_ = e.conn.Close()
	}
}

// Write writes data unless the connection is retired. Data that has arrived before a request is
// written, or the end of the connection, retires it.
func (c *Conn) Write(data []byte) (int, error) {
	e, begins, err := c.beginWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	if n == 0 && begins {
		c.mu.Lock()
		e.written = false
		c.mu.Unlock()
	}
	return n, err
}

// beginWrite returns the current exchange and whether its request begins with this write.
func (c *Conn) beginWrite() (e *Exchange, begins bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e = c.current; e != nil && !e.written {
		begins = true
		if !c.retired && e.before > 0 && c.pending != nil && c.pending() {
			c.retired, e.blocked = true, true
		}
		e.written = !c.retired
	}
	if c.retired {
		return nil, false, &RetiredError{}
	}
	return e, begins, nil
}

// Read reads data.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil {
		c.mu.Lock()
		c.broken = cmp.Or(c.broken, err)
		c.mu.Unlock()
	}
	return n, err
}
