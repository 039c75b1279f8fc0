// Package admitter accepts the connections of clients up to a limit. At the limit it closes the connection
// that has been without a request longest, so that a new one can be taken.
package admitter

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/pkg/timer"
)

const (
	// minSilence is the time that the first request of a connection may take until the connection can be closed
	// for another one.
	minSilence = time.Second
	// fullTime is the time for which a connection must have waited until Full reports it.
	fullTime = 500 * time.Millisecond
	// checkInterval is the time between two looks for a connection to close.
	checkInterval = 50 * time.Millisecond
)

type (
	// Admitter limits connections. It is safe for concurrent use.
	Admitter struct {
		limit int

		mu    sync.Mutex
		conns map[*conn]bool
		// freed is closed when a connection has closed, and then replaced.
		freed chan struct{}
		// waitingSince is when a connection began to wait, zero if none waits.
		waitingSince time.Duration
	}

	listener struct {
		net.Listener
		admitter *Admitter
		closed   chan struct{}
		once     sync.Once
	}

	// conn is an accepted connection. The admitter's mutex guards its fields.
	conn struct {
		net.Conn
		admitter *Admitter
		state    http.ConnState
		// since is when the state began.
		since time.Duration
	}
)

// New returns an Admitter for at most limit connections.
func New(limit int) *Admitter {
	return &Admitter{limit: limit, conns: map[*conn]bool{}, freed: make(chan struct{})}
}

// Wrap returns a listener whose connections count. ConnState must be that of the server which it is for.
func (a *Admitter) Wrap(l net.Listener) net.Listener {
	return &listener{Listener: l, admitter: a, closed: make(chan struct{})}
}

// ConnState records the state of a connection, for http.Server.ConnState.
func (a *Admitter) ConnState(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*conn)
	if secured, wraps := connection.(interface{ NetConn() net.Conn }); !ok && wraps {
		c, ok = secured.NetConn().(*conn)
	}
	if ok {
		a.mu.Lock()
		defer a.mu.Unlock()
		c.state, c.since = state, timer.Now()
	}
}

// Full reports that no connection can be taken: one waits, and all others have requests in progress.
func (a *Admitter) Full() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waitingSince != 0 && timer.Now()-a.waitingSince > fullTime
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, admitter: l.admitter, state: http.StateNew}
	for {
		evicted, freed, admitted := l.admitter.admit(c)
		if evicted != nil {
			_ = evicted.Close()
		}
		if admitted {
			return c, nil
		}
		select {
		case <-l.closed:
			_ = accepted.Close()
			return nil, net.ErrClosed
		case <-freed:
		case <-time.After(checkInterval):
		}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// admit counts a connection if there is room, and returns the connection that must be closed for it, if any. Otherwise
// freed is closed when there may be room.
func (a *Admitter) admit(c *conn) (evicted *conn, freed <-chan struct{}, admitted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := timer.Now()
	if len(a.conns) >= a.limit {
		if evicted = a.longestIdle(now); evicted == nil {
			if a.waitingSince == 0 {
				a.waitingSince = now
			}
			return nil, a.freed, false
		}
		delete(a.conns, evicted)
	}
	a.conns[c] = true
	c.since, a.waitingSince = now, 0
	return evicted, nil, true
}

// longestIdle returns the connection that has been without a request longest, nil if there is none.
func (a *Admitter) longestIdle(now time.Duration) *conn {
	var longest *conn
	for c := range a.conns {
		idle := c.state == http.StateIdle || c.state == http.StateNew && now-c.since >= minSilence
		if idle && (longest == nil || c.since < longest.since) {
			longest = c
		}
	}
	return longest
}

// NetConn returns the connection that the admitter has accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *conn) Close() error {
	a := c.admitter
	a.mu.Lock()
	if a.conns[c] {
		delete(a.conns, c)
		close(a.freed)
		a.freed = make(chan struct{})
	}
	a.mu.Unlock()
	return c.Conn.Close()
}
