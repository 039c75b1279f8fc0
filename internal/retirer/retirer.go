// Package retirer keeps connections to upstreams from carrying another request after an exchange has
// failed on them, or the same request twice. An upstream may send an answer too many, which
// would be taken for that to the next request.
//
// An http.Transport may hand a connection to the next request before its caller has looked at the
// response to the last one. A connection that must not be used any more therefore fails the write of
// a request before its first byte, so that the request can be sent on another one.
package retirer

import (
	"context"
	"net"
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

		mu sync.Mutex
		// current is the latest exchange.
		current *Exchange
		// last reports that no request may follow the current one, retired that none may be written.
		last, retired bool
		// carried holds the hashes of the latest requests, of which next is overwritten first.
		carried [rememberedRequests]uint64
		next    int
	}

	// Exchange is a request and its response on a connection.
	Exchange struct {
		conn    *Conn
		blocked bool
	}

	// RetiredError reports a request of which no byte was written, since its connection must not
	// carry it.
	RetiredError struct{}

	// DialFunc is a function for http.Transport.DialContext.
	DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)
)

// Error implements error.
func (e *RetiredError) Error() string { return "the connection must not carry the request" }

// Wrap returns a function that establishes connections of type *Conn.
func Wrap(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
}

// Begin begins an exchange on a connection that the transport has chosen for a request, before the
// request is written. The write fails with a *RetiredError if the connection must not carry it.
// Connections that Wrap has not made may carry any request.
func Begin(conn net.Conn, request RequestID) *Exchange {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	c, ok := conn.(*Conn)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := xxhash.Sum64String(string(request))
	for _, known := range c.carried {
		c.retired = c.retired || known == hash
	}
	c.retired = c.retired || c.last
	c.carried[c.next] = hash
	c.next = (c.next + 1) % rememberedRequests
	c.current = &Exchange{conn: c, blocked: c.retired}
	return c.current
}

// Blocked reports that no byte of the request is written, since the connection must not carry it.
func (e *Exchange) Blocked() bool { return e != nil && e.blocked }

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

// Write writes data unless the connection is retired.
func (c *Conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	retired := c.retired
	c.mu.Unlock()
	if retired {
		return 0, &RetiredError{}
	}
	return c.Conn.Write(data)
}
