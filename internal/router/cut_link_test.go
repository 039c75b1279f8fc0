package router

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/comfreybend/comfreybend/internal/dialer"
)

// linkTimeout is the time after which a connection to an upstream that hangs fails.
const linkTimeout = 300 * time.Millisecond

// linkState is what happens to the connections of an entry process to all upstreams.
type linkState int

const (
	linkWorks linkState = iota
	// linkHangs: nothing that is sent arrives any more.
	linkHangs
	// linkResets: open connections are reset and new ones refused.
	linkResets
	// linkRefuses: open connections live on, and new ones are refused.
	linkRefuses
	// linkAccepts: open connections are reset, and new ones once they are established.
	linkAccepts
)

type (
	// upstreamLink establishes the connections of an entry process to its upstreams.
	upstreamLink struct {
		dial dialer.DialFunc

		mu    sync.Mutex
		state linkState
		conns []*linkConn
	}

	linkConn struct {
		net.Conn
		link *upstreamLink

		mu      sync.Mutex
		expired bool
	}
)

func (l *upstreamLink) current() linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *upstreamLink) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	if state != linkResets && state != linkAccepts {
		return
	}
	for _, c := range l.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	l.conns = nil
}

func (l *upstreamLink) connect(ctx context.Context, network, address string) (net.Conn, error) {
	switch l.current() {
	case linkHangs:
		ctx, cancel := context.WithTimeout(ctx, linkTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: context.Cause(ctx)}
	case linkAccepts:
		conn, gateway := net.Pipe()
		return conn, gateway.Close()
	case linkResets, linkRefuses:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	conn, err := l.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: conn, link: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// Write drops what is written while the link hangs, and lets the connection fail as one whose data
// are not acknowledged.
func (c *linkConn) Write(data []byte) (int, error) {
	if c.link.current() != linkHangs {
		return c.Conn.Write(data)
	}
	time.AfterFunc(linkTimeout, func() {
		c.mu.Lock()
		c.expired = true
		c.mu.Unlock()
		_ = c.Close()
	})
	return len(data), nil
}

func (c *linkConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.expired {
		return n, &dialer.UnacknowledgedError{For: linkTimeout}
	}
	return n, err
}
