package messenger

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/comfreybend/comfreybend/internal/dialer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

type (
	// Client sends requests to the process at one address. It connects when needed and
	// is safe for concurrent use.
	Client struct {
		// Dial opens a connection. It may be replaced before the first request.
		Dial func(ctx context.Context, address string) (net.Conn, error)

		address        string
		security       Security
		connectTimeout time.Duration
		// received counts the bytes received on all connections.
		received atomic.Int64

		mu      sync.Mutex
		session *yamux.Session
	}

	// countingConn counts the bytes that it receives.
	countingConn struct {
		net.Conn
		received *atomic.Int64
	}

	// UnreachableError reports that a process could not be reached or did not reply.
	UnreachableError struct {
		Address string
		// MayHaveArrived is false if no part of the request was sent.
		MayHaveArrived bool
		Cause          error
	}

	// RemoteError is a failure that the other process reported.
	RemoteError struct {
		Reason string
		Detail string
	}
)

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("process at %s is unreachable (request sent: %t): %v", e.Address, e.MayHaveArrived, e.Cause)
}

// Unwrap returns the underlying error.
func (e *UnreachableError) Unwrap() error {
	return e.Cause
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
}

// NewClient returns a client for address. connectTimeout includes the TLS handshake.
func NewClient(address string, security Security, connectTimeout time.Duration) *Client {
	return &Client{Dial: dial, address: address, security: security, connectTimeout: connectTimeout}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{Control: dialer.UserTimeout(writeTimeout)}).DialContext(ctx, "tcp", address)
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Received returns the number of bytes that have come from the other process, of messages that are not complete too.
func (c *Client) Received() int64 { return c.received.Load() }

// Address returns the address of the other process.
func (c *Client) Address() string {
	return c.address
}

// Call sends a request and waits for the reply. It returns an *UnreachableError or a
// *RemoteError on failure.
func (c *Client) Call(ctx context.Context, request *wire.Request) (*wire.Reply, error) {
	stream, err := c.openStream(ctx)
	if err != nil {
		return nil, &UnreachableError{Address: c.address, Cause: err}
	}
	defer func() { _ = stream.Close() }()
	defer endWhenDone(ctx, stream)()
	if _, err = protodelim.MarshalTo(stream, request); err != nil {
		return nil, &UnreachableError{Address: c.address, MayHaveArrived: true, Cause: err}
	}
	reply := &wire.Reply{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err = options.UnmarshalFrom(bufio.NewReader(stream), reply); err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &UnreachableError{Address: c.address, MayHaveArrived: true, Cause: err}
	}
	if f := reply.GetFailure(); f != nil {
		return nil, &RemoteError{Reason: f.GetReason(), Detail: f.GetDetail()}
	}
	return reply, nil
}

// Notify sends a request that has no reply.
func (c *Client) Notify(ctx context.Context, request *wire.Request) error {
	stream, err := c.openStream(ctx)
	if err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	defer func() { _ = stream.Close() }()
	defer endWhenDone(ctx, stream)()
	if _, err = protodelim.MarshalTo(stream, request); err != nil {
		return &UnreachableError{Address: c.address, MayHaveArrived: true, Cause: err}
	}
	return nil
}

// Close closes the connection. Later requests connect again.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		_ = c.session.Close()
		c.session = nil
	}
}

func (c *Client) openStream(ctx context.Context) (*yamux.Stream, error) {
	session, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		_ = session.Close()
		return nil, errors.Wrap(err, "opening a stream")
	}
	return stream, nil
}

// connect returns the current session, or a new one if there is none.
func (c *Client) connect(ctx context.Context) (*yamux.Session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil && !c.session.IsClosed() {
		return c.session, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.connectTimeout)
	defer cancel()
	conn, err := c.Dial(ctx, c.address)
	if err != nil {
		return nil, errors.Wrap(err, "dialling")
	}
	conn = &countingConn{Conn: conn, received: &c.received}
	if c.security.Client != nil {
		secured := tls.Client(conn, c.security.Client())
		if err = secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errors.Wrap(err, "TLS handshake")
		}
		conn = secured
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "starting a session")
	}
	c.session = session
	return session, nil
}
